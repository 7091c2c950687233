package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// surplusConn is a connection on which an answer may come a second time, in the place
// where the next one is due. One that came earlier would be seen before the connection is
// used again.
type surplusConn struct {
	*net.TCPConn

	mu  sync.Mutex
	due []byte
}

// Write writes what comes a second time, and then p.
func (c *surplusConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	due := c.due
	c.due = nil
	c.mu.Unlock()
	if len(due) > 0 {
		if _, err := c.TCPConn.Write(due); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}

// surplusListener takes such connections.
type surplusListener struct{ net.Listener }

// Accept waits for the next connection.
func (l surplusListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &surplusConn{TCPConn: tcp}, nil
	}
	return c, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// again has an answer that was written come once more.
func again(w http.ResponseWriter, r *http.Request, status int, body string) {
	c, ok := r.Context().Value(connKey{}).(*surplusConn)
	if !ok || http.NewResponseController(w).Flush() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}
