// Package poison knows requests by their content and keeps those under which servers have
// ended, so that a request that ends each server which runs it is refused when it comes
// again, under whatever ID and through whatever gateway.
//
// A server that ends takes all that it runs with it, so one ending proves nothing of any of
// them. What is blocked is a content under which several servers have ended and that has
// never run to its end since.
//
// Table is plain state: it is given the time and returns what is to be told. What it keeps
// only grows until it is forgotten, so tables that tell each other agree, in whatever order
// and however often they hear of it.
package poison
