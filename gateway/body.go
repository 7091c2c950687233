package gateway

import (
	"errors"
	"io"
	"net/http"
)

var errTooLarge = errors.New("gateway: the body is too large")

// readBody reads a body of at most limit bytes; no limit if it is zero.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = 1 << 30
	}
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
	}
	return body, err
}

func bodyRefusal(err error) *refusal {
	if errors.Is(err, errTooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closing: true}
	}
	return &refusal{status: http.StatusBadRequest, reason: "the body could not be read", closing: true}
}
