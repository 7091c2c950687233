package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/ledgepin/ledgepin/membudget"
)

// Errors of bodies that are not kept in memory.
var (
	errBodyTooLarge = errors.New("gateway: request body too large")
	errNoMemory     = errors.New("gateway: memory limit reached")
)

// readBody reads a body of at most limit bytes, or of any size if limit is zero. It doesn't wait
// for memory: the caller can retry, here or at another gateway.
func readBody(r *http.Request, limit int64, memory *membudget.Account) ([]byte, error) {
	if limit <= 0 {
		limit = 1 << 30
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.ContentLength >= 0 {
		if !memory.TryReserve(r.ContentLength) {
			return nil, errNoMemory
		}
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return readChunked(r.Body, limit, memory)
}

// readChunked reads a body of unknown length.
func readChunked(r io.Reader, limit int64, memory *membudget.Account) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(int64(2*cap(body)), firstReadSize)
			if !memory.TryReserve(grown - int64(cap(body))) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

func bodyRefusal(err error) *refusal {
	if errors.Is(err, errBodyTooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closing: true}
	}
	return &refusal{status: http.StatusBadRequest, reason: "the body could not be read", closing: true}
}
