package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/sock"
	"github.com/ledgepin/ledgepin/membudget"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/route"
)

// Sizes of what is held in memory for callers.
const (
	// maxAnswer bounds the size of an answer held in memory.
	maxAnswer = 16 << 20
	// maxReadSize bounds a single read of an answer; firstReadSize is the size of the first read if
	// the length of the answer is unknown.
	maxReadSize   = 64 << 10
	firstReadSize = 4 << 10
	// streamMemory is the memory accounted for a stream with short events.
	streamMemory = 2*streamBuffer + 16<<10
)

// maxUnsentBytes bounds the unsent data that the kernel buffers for a caller: otherwise it uses
// several megabytes for each caller that doesn't read.
const maxUnsentBytes = 64 << 10

// ConnContext bounds the kernel's send buffer of a new connection of a caller. It has the signature
// of http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	sock.LimitUnsent(c, maxUnsentBytes)
	return ctx
}

// bufferedAnswer is a complete answer in memory, in chunks that are released as they are written.
type bufferedAnswer struct {
	chunks [][]byte
	size   int64
	// reserved is the memory accounted for the answer, in bytes.
	reserved int64
}

// errAnswerTooLong means that an answer exceeds maxAnswer.
var errAnswerTooLong = errors.New("gateway: answer exceeds the maximum size")

// readAnswer reads the complete answer of a server, no faster than memory becomes available for it.
func readAnswer(ctx context.Context, memory *membudget.Account, a *backend.Answer) (bufferedAnswer, error) {
	defer a.Close()
	var b bufferedAnswer
	for {
		err := b.readChunk(ctx, memory, a)
		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.release(memory)
			return bufferedAnswer{}, err
		}
	}
}

// readChunk reads the next chunk, once there is memory for it.
func (b *bufferedAnswer) readChunk(ctx context.Context, memory *membudget.Account, a *backend.Answer) error {
	// One byte beyond maxAnswer shows whether the answer ends there.
	size := min(b.nextSize(a.Length), maxAnswer+1-b.size)
	if size <= 0 {
		return errAnswerTooLong
	}
	if err := reserveMemory(ctx, memory, size); err != nil {
		if errors.Is(err, membudget.ErrTooLarge) && a.Length < 0 {
			return errAnswerTooLong // it may have no end
		}
		return err
	}
	chunk := make([]byte, size)
	n, err := fill(a, chunk)
	b.chunks, b.size, b.reserved = append(b.chunks, chunk[:n]), b.size+int64(n), b.reserved+size
	return err
}

// reserveMemory waits until memory is available. Its error wraps errNoMemory, so that no server is
// blamed.
func reserveMemory(ctx context.Context, memory *membudget.Account, n int64) error {
	if err := memory.Reserve(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", errNoMemory, err)
	}
	return nil
}

// nextSize returns the size of the next read: the rest of an answer and its end, or a chunk.
func (b *bufferedAnswer) nextSize(length int64) int64 {
	switch {
	case length >= 0:
		return min(max(length-b.size, 0)+1, maxReadSize)
	case b.size == 0:
		return firstReadSize
	}
	return maxReadSize
}

// fill reads until buf is full or the source ends.
func fill(r io.Reader, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		if n += m; err != nil {
			return n, err
		}
	}
	return n, nil
}

// releaseFirst releases the first chunk.
func (b *bufferedAnswer) releaseFirst(memory *membudget.Account) {
	n := int64(cap(b.chunks[0]))
	b.chunks[0], b.chunks = nil, b.chunks[1:]
	b.reserved -= n
	memory.Release(n)
}

// release releases all chunks.
func (b *bufferedAnswer) release(memory *membudget.Account) {
	memory.Release(b.reserved)
	*b = bufferedAnswer{}
}

// memoryFullLogInterval is the minimum time between two log lines about full memory.
const memoryFullLogInterval = 10 * time.Second

// memoryRetry is the Retry-After of a request refused for lack of memory: other callers must first
// have read their answers.
const memoryRetry = time.Second

// abortWrite aborts the write of an answer. It fails only on a closed connection, which needs no
// deadline.
func abortWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(clock.Deadline(0))
}

func organisationName(o *route.Organisation) string {
	if o == nil {
		return ""
	}
	return o.Name
}

// refuseNoMemory refuses a request for which there is no memory.
func (g *Gateway) refuseNoMemory(q *request) *refusal {
	metric.MemoryRefusals.WithLabelValues(q.route.Name).Inc()
	if g.memoryFull.Allow(g.clock.Now(), "full") {
		event.MemoryLimitReached.Log(g.log, "held", g.memory.Held(), "waits", g.memory.Waits())
	}
	return &refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: "no memory for the request now",
		retryAfter: memoryRetry, closing: true,
	}
}
