// Package selfreport keeps what backend servers say of themselves in their answers.
//
// The head of each answer is read once, whatever its kind and status, into a Report
// (backend.Protocol.SelfReport). The fields differ in whom they bind and in which of two
// reports counts:
//
//   - Limit binds all gateways together. The newest report counts (package ratelimit).
//   - RetryAfter binds the gateway that was told. The latest end counts.
//   - Leaving binds all gateways. It holds until the server starts again.
//   - Cold binds all gateways together. The newest report counts (package warmup).
//
// All of it belongs to one start of a server: the next start has said nothing yet. The package
// is plain state: the time is an argument.
package selfreport
