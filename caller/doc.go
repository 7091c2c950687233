// Package caller is the HTTP interface for callers: the completions of the
// OpenAI API, streamed or in one response, and the plain services.
//
// The class and customer of a request follow from its token and the settings.
// Bodies, prompts and open streams are bounded, and a caller that does not
// read its answer is disconnected.
package caller
