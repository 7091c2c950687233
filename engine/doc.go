// Package engine is a client for model engines.
//
// The protocol is the OpenAI-style HTTP API of common engines, with an additional
// object for KV transfers. Only the agent of an engine uses it. The interface Engine
// defines what an engine must provide; Client implements it over HTTP, and the
// contract test in enginetest runs against any implementation.
package engine
