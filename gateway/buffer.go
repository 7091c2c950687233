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

// Sizes of what is held for callers.
const (
	// maxAnswer bounds an answer that is held in memory.
	maxAnswer = 16 << 20
	// heldPart is the most that is read of an answer at once, firstPart what is read of one
	// whose length is not told.
	maxReadSize   = 64 << 10
	firstReadSize = 4 << 10
	// streamMemory is what a stream counts for, whose events are short.
	streamMemory = 2*streamBuffer + 16<<10
)

// unsentMost is what the kernel keeps for a caller beyond what is on its way: else it takes some
// megabytes for each that does not read.
const maxUnsentBytes = 64 << 10

// ConnContext bounds what the kernel keeps for a new connection of a caller; http.Server wants
// it so.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	sock.BoundUnsent(c, maxUnsentBytes)
	return ctx
}

// heldAnswer is a whole answer in memory, in parts that are given back as they are written.
type bufferedAnswer struct {
	chunks [][]byte
	size   int64
	// counted are the bytes that it counts for.
	reserved int64
}

// errTooLong tells that an answer is longer than what is held.
var errAnswerTooLong = errors.New("gateway: the answer is longer than what is held of one")

// readWhole reads the whole answer of a server, no faster than there is memory for it.
func readAnswer(ctx context.Context, memory *membudget.Account, a *backend.Answer) (bufferedAnswer, error) {
	defer a.Close()
	var h bufferedAnswer
	for {
		err := h.readChunk(ctx, memory, a)
		switch {
		case errors.Is(err, io.EOF):
			return h, nil
		case err != nil:
			h.release(memory)
			return bufferedAnswer{}, err
		}
	}
}

// readPart reads the next part, once there is memory for it.
func (h *bufferedAnswer) readChunk(ctx context.Context, memory *membudget.Account, a *backend.Answer) error {
	// A byte more than there may be tells whether an answer ends there.
	size := min(h.nextSize(a.Length), maxAnswer+1-h.size)
	if size <= 0 {
		return errAnswerTooLong
	}
	if err := reserveMemory(ctx, memory, size); err != nil {
		return err
	}
	chunk := make([]byte, size)
	n, err := fill(a, chunk)
	h.chunks, h.size, h.reserved = append(h.chunks, chunk[:n]), h.size+int64(n), h.reserved+size
	return err
}

// takeMemory waits until there is memory. Its error says that it is no server's fault.
func reserveMemory(ctx context.Context, memory *membudget.Account, n int64) error {
	if err := memory.Reserve(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", errNoMemory, err)
	}
	return nil
}

// next returns how much is read next: the rest of an answer and its end, or a part.
func (h *bufferedAnswer) nextSize(length int64) int64 {
	switch {
	case length >= 0:
		return min(max(length-h.size, 0)+1, maxReadSize)
	case h.size == 0:
		return firstReadSize
	}
	return maxReadSize
}

// fill reads until a part is full or the source ends.
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

// shift gives the first part back.
func (h *bufferedAnswer) releaseFirst(memory *membudget.Account) {
	n := int64(cap(h.chunks[0]))
	h.chunks[0], h.chunks = nil, h.chunks[1:]
	h.reserved -= n
	memory.Release(n)
}

// drop gives all parts back.
func (h *bufferedAnswer) release(memory *membudget.Account) {
	memory.Release(h.reserved)
	*h = bufferedAnswer{}
}

// memoryFullEvery is the least time between two lines about a full memory.
const memoryFullLogInterval = 10 * time.Second

// memoryRetry is when a caller should come back that there is no memory for: others must have
// read their answers.
const memoryRetry = time.Second

// cutWrite ends the write of an answer that is given up.
func abortWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(clock.Deadline(0)) // a connection that has ended needs none
}

func organisationName(o *route.Organisation) string {
	if o == nil {
		return ""
	}
	return o.Name
}

// noMemory refuses a request that there is no memory for.
func (g *Gateway) refuseNoMemory(q *request) *refusal {
	metric.MemoryRefusals.WithLabelValues(q.route.Name).Inc()
	if g.memoryFull.Allow(g.clock.Now(), "full") {
		event.MemoryFull.Log(g.log, "held", g.memory.Held(), "waits", g.memory.Waits())
	}
	return &refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: "no memory for the request now",
		retryAfter: memoryRetry, closing: true,
	}
}
