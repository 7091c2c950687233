// Package placement knows what one entry knows of the backend servers, and
// chooses a prefill server and a decode server for a request, both at once.
//
// What it knows is late: reports lag, cache events have gaps. So it keeps
// apart what the entry itself has at a server, which is exact, and what others
// have there, which the agent last reported. The agent answers each
// reservation yes or no, so a wrong guess costs a round trip and never
// overloads a server.
package placement
