// Package control implements a control replica. Control replicas keep the settings of the
// fleet in a replicated log.
//
// Control is never on the path of a request. A replica exchanges packets with the other
// replicas, syncs what must be durable before it sends anything, applies committed entries,
// and sends each accepted revision to the relays and entries connected to it. Its hub gives
// gateways the routing table, the backend servers, and the load that other gateways have
// placed on them.
package control
