// Package origin records at which software version streams began.
//
// What two versions of a server generate doesn't fit together, so a stream may continue only at
// the version that began it. A caller that returns names the attempt that brought the first event,
// and any gateway may get the request. While all servers of a service have one version, nothing
// has to be known about an attempt; package origin also records which versions there have been
// recently.
//
// The load that it is for: the streams of the time in which servers are replaced by ones of another
// version, at some thousand new streams a second. Callers return within the lifetime of a stream.
//
// The package keeps plain state: callers pass the time as an argument.
package origin
