// Package placement holds an entry's view of the backend servers and chooses a
// prefill server and a decode server for a request, both at once.
//
// The view is out of date: load reports are delayed and cache events are
// incomplete. So it keeps the load of the entry itself, which is exact, apart
// from the load of other entries, which the agent reported last. Since the agent
// grants or rejects each reservation, a wrong estimate costs a round trip but
// never overloads a server.
package placement
