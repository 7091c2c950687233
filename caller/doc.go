// Package caller is the HTTP interface to callers: the completions of the
// OpenAI API, streamed and whole, and the plain services.
//
// Class and customer of a request follow from its token and the settings.
// Bodies, prompts and open streams are bounded, and a reader that does not
// read is cut off.
package caller
