// Package selfreport holds what backend servers report about themselves in the heads of their
// answers.
//
// The head of each answer, whatever its kind and status, is parsed once into a Report
// (backend.Protocol.SelfReport). The fields differ in which gateways they bind and in which
// of two reports counts:
//
//   - Limit binds all gateways together. The newest report counts (package ratelimit).
//   - RetryAfter binds the gateway that received it. The latest end counts.
//   - Leaving binds all gateways. It holds until the server restarts.
//   - Cold binds all gateways together. The newest report counts (package warmup).
//
// All fields belong to one incarnation of a server; the next incarnation begins without any.
// The package keeps plain state: callers pass the time as an argument.
package selfreport
