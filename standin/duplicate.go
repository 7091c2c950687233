package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// duplicatingConn is a connection on which an answer may be sent a second time, in place of the
// next answer. It is sent no earlier: the client would see it before it uses the connection again.
type duplicatingConn struct {
	*net.TCPConn

	mu        sync.Mutex
	duplicate []byte
}

// Write writes the duplicate, if there is one, and then p.
func (c *duplicatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	duplicate := c.duplicate
	c.duplicate = nil
	c.mu.Unlock()
	if len(duplicate) > 0 {
		if _, err := c.TCPConn.Write(duplicate); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}

// duplicatingListener accepts connections that can duplicate answers.
type duplicatingListener struct{ net.Listener }

// Accept waits for the next connection.
func (l duplicatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &duplicatingConn{TCPConn: tcp}, nil
	}
	return c, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// duplicateAnswer makes the connection send an answer once more, before the next one.
func duplicateAnswer(w http.ResponseWriter, r *http.Request, status int, body string) {
	c, ok := r.Context().Value(connKey{}).(*duplicatingConn)
	if !ok || http.NewResponseController(w).Flush() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.duplicate = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}
