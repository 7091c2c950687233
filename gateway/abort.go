package gateway

import (
	"net/http"
)

// lingerSetter is a connection that can be closed with a reset.
type lingerSetter interface{ SetLinger(seconds int) error }

// abortAnswer ends an incomplete answer so that the caller can't mistake it for a complete one. A
// chunked answer lacks its last chunk. For a caller without chunks (HTTP/1.0) the end of the
// connection is the end of the answer, so that connection is reset.
func abortAnswer(w http.ResponseWriter, chunked bool) {
	if !chunked {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes a caller's connection with a reset.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection closes anyway
	}
	if l, ok := c.(lingerSetter); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}
