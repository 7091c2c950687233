package gateway

import (
	"net/http"
)

// lingering is a connection that can be reset.
type lingerSetter interface{ SetLinger(seconds int) error }

// cut ends an answer that is not whole, so that it does not look whole. One in chunks
// lacks its last chunk. A caller that reads none (HTTP/1.0) takes the end of the
// connection for that of the answer, unless it is reset.
func abortAnswer(w http.ResponseWriter, chunked bool) {
	if !chunked {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes a caller's connection so that it sees a reset.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // it is closed in any case
	}
	if l, ok := c.(lingerSetter); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}
