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
	heldPart  = 64 << 10
	firstPart = 4 << 10
	// streamMemory is what a stream counts for, whose events are short.
	streamMemory = 2*streamBuffer + 16<<10
)

// unsentMost is what the kernel keeps for a caller beyond what is on its way: else it takes some
// megabytes for each that does not read.
const unsentMost = 64 << 10

// ConnContext bounds what the kernel keeps for a new connection of a caller; http.Server wants
// it so.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	sock.BoundUnsent(c, unsentMost)
	return ctx
}

// heldAnswer is a whole answer in memory, in parts that are given back as they are written.
type heldAnswer struct {
	parts [][]byte
	size  int64
	// counted are the bytes that it counts for.
	counted int64
}

// errTooLong tells that an answer is longer than what is held.
var errTooLong = errors.New("gateway: the answer is longer than what is held of one")

// readWhole reads the whole answer of a server, no faster than there is memory for it.
func readWhole(ctx context.Context, memory *membudget.Account, a *backend.Answer) (heldAnswer, error) {
	defer a.Close()
	var h heldAnswer
	for {
		err := h.readPart(ctx, memory, a)
		switch {
		case errors.Is(err, io.EOF):
			return h, nil
		case err != nil:
			h.drop(memory)
			return heldAnswer{}, err
		}
	}
}

// readPart reads the next part, once there is memory for it.
func (h *heldAnswer) readPart(ctx context.Context, memory *membudget.Account, a *backend.Answer) error {
	// A byte more than there may be tells whether an answer ends there.
	size := min(h.next(a.Length), maxAnswer+1-h.size)
	if size <= 0 {
		return errTooLong
	}
	if err := takeMemory(ctx, memory, size); err != nil {
		return err
	}
	part := make([]byte, size)
	n, err := fill(a, part)
	h.parts, h.size, h.counted = append(h.parts, part[:n]), h.size+int64(n), h.counted+size
	return err
}

// takeMemory waits until there is memory. Its error says that it is no server's fault.
func takeMemory(ctx context.Context, memory *membudget.Account, n int64) error {
	if err := memory.Reserve(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", errNoMemory, err)
	}
	return nil
}

// next returns how much is read next: the rest of an answer and its end, or a part.
func (h *heldAnswer) next(length int64) int64 {
	switch {
	case length >= 0:
		return min(max(length-h.size, 0)+1, heldPart)
	case h.size == 0:
		return firstPart
	}
	return heldPart
}

// fill reads until a part is full or the source ends.
func fill(r io.Reader, part []byte) (int, error) {
	n := 0
	for n < len(part) {
		m, err := r.Read(part[n:])
		if n += m; err != nil {
			return n, err
		}
	}
	return n, nil
}

// shift gives the first part back.
func (h *heldAnswer) shift(memory *membudget.Account) {
	n := int64(cap(h.parts[0]))
	h.parts[0], h.parts = nil, h.parts[1:]
	h.counted -= n
	memory.Release(n)
}

// drop gives all parts back.
func (h *heldAnswer) drop(memory *membudget.Account) {
	memory.Release(h.counted)
	*h = heldAnswer{}
}

// memoryFullEvery is the least time between two lines about a full memory.
const memoryFullEvery = 10 * time.Second

// memoryRetry is when a caller should come back that there is no memory for: others must have
// read their answers.
const memoryRetry = time.Second

// cutWrite ends the write of an answer that is given up.
func cutWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(clock.Deadline(0)) // a connection that has ended needs none
}

func organisationName(o *route.Organisation) string {
	if o == nil {
		return ""
	}
	return o.Name
}

// noMemory refuses a request that there is no memory for.
func (g *Gateway) noMemory(q *request) *refusal {
	metric.MemoryRefusals.WithLabelValues(q.route.Name).Inc()
	if g.memoryFull.Allow(g.clock.Now(), "full") {
		event.MemoryFull.Log(g.log, "held", g.memory.Held(), "waits", g.memory.Waits())
	}
	return &refusal{
		route: q.route.Name, status: http.StatusServiceUnavailable, reason: "no memory for the request now",
		retryAfter: memoryRetry, closing: true,
	}
}
