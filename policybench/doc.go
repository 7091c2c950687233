// Package policybench measures the decisions of package router on virtual
// time, against small fakes of engines and agents.
//
// The fakes have what matters for the policy: batches and slots, the time for
// which a KV cache is held, links of limited rate, a prefix cache, reports that
// lag. Runs are seeded: the same run gives the same figures on any machine.
// The bounds that CI checks stand in testdata/bounds.yaml.
package policybench
