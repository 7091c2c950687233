package standin

import (
	"net"
	"net/http"
)

// unframedStream writes a stream that ends with its connection, so that one that is interrupted by
// a close looks complete.
type unframedStream struct {
	server *Backend
	conn   net.Conn
	done   chan struct{}
}

// unframe hijacks the connection of an answer and writes the header.
func (b *Backend) unframe(w http.ResponseWriter) (*unframedStream, error) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	u := &unframedStream{server: b, conn: c, done: make(chan struct{})}
	b.mu.Lock()
	if b.unframed == nil {
		b.unframed = map[*unframedStream]bool{}
	}
	b.unframed[u] = true
	b.mu.Unlock()
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buf)
	_, _ = buf.WriteString("Connection: close\r\n\r\n")
	_ = buf.Flush()
	go func() {
		var one [1]byte
		_, _ = c.Read(one[:]) // the client sends nothing more: a read returns at its close
		close(u.done)
	}()
	return u, nil
}

// closeUnframed closes the hijacked connections, which http.Server no longer tracks.
func (b *Backend) closeUnframed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for u := range b.unframed {
		u.close(b.behaviour.Reset)
	}
}

func (u *unframedStream) write(p []byte) bool {
	_, err := u.conn.Write(p)
	return err == nil
}

func (u *unframedStream) closed() <-chan struct{} { return u.done }

func (u *unframedStream) end(complete, byReset bool) {
	u.server.mu.Lock()
	delete(u.server.unframed, u)
	u.server.mu.Unlock()
	u.close(!complete && byReset)
}

func (u *unframedStream) close(byReset bool) {
	if tcp, ok := u.conn.(lingerSetter); ok && byReset {
		_ = tcp.SetLinger(0)
	}
	_ = u.conn.Close()
}
