// Package policybench measures the decisions of package router in virtual time, against small
// fakes of engines and agents.
//
// The fakes model what matters for a policy: batches and slots, the time for which a KV cache is
// kept, links of limited rate, a prefix cache, and delayed reports. Runs are seeded: the same run
// gives the same figures on any machine. CI checks the bounds in testdata/bounds.yaml.
package policybench
