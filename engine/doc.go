// Package engine talks to model engines.
//
// The wire is the OpenAI-style HTTP that common engines speak, with an object
// for KV transfers beside it. Only the agent beside an engine uses it. What an
// engine must give stands in the interface Engine; Client is its form over
// HTTP, and the contract test in enginetest runs against any of them.
package engine
