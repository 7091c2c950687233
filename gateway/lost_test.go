package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/standin"
)

// TestLostAnswers guards against answers that count as lost by their server although the caller or
// the gateway ended them, and against cut ones that don't.
func TestLostAnswers(t *testing.T) {
	live := t.Context()
	expired, stop := context.WithTimeout(live, 0)
	defer stop()
	gone, cancel := context.WithCancel(live)
	cancel()
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	for _, tt := range []struct {
		ctx  context.Context
		kind resultKind
		err  error
		want dispatch.Outcome
	}{
		{live, broken, reset, dispatch.Lost},
		{live, broken, io.ErrUnexpectedEOF, dispatch.Lost},
		{live, broken, &backend.Error{Sent: true, Cause: io.EOF}, dispatch.Lost},
		{live, broken, net.ErrClosed, dispatch.Lost}, // the pool ended a replaced incarnation
		{live, broken, errPartialEvent, dispatch.Lost},
		{live, broken, fmt.Errorf("%w: %w", errCallerWrite, syscall.ECONNRESET), dispatch.Failure},
		{live, broken, errRunStopped, dispatch.Failure},
		{live, broken, errEventsMissing, dispatch.Failure},
		{live, broken, nil, dispatch.Failure},
		{live, late, os.ErrDeadlineExceeded, dispatch.Failure},
		{expired, broken, net.ErrClosed, dispatch.Failure},
		{gone, broken, net.ErrClosed, dispatch.Neutral},
		{live, broken, fmt.Errorf("%w: %w", errNoMemory, net.ErrClosed), dispatch.Neutral},
		{live, notRun, nil, dispatch.Busy},
		{live, notSent, reset, dispatch.Unreachable},
	} {
		assert.Equal(t, outcomeOf(tt.ctx, result{kind: tt.kind, err: tt.err}), tt.want, "%v %v", tt.kind, tt.err)
	}
}

// TestCutStreamsAreReported checks that a stream that its engine cuts off is reported to the other
// gateways at once, and is retracted later.
func TestCutStreamsAreReported(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", registry.Prefill)
	h.add("llm", "d1", registry.Decode).SetFault(faultOnce(standin.CutStream, isDecode))
	assert.Assert(t, h.send("POST", "/review/1", "q1", "x", workHeaders).truncated)
	update := h.gateway.fleet.pendingUpdate(h.gateway.clock.Now())
	assert.Assert(t, update != nil)
	lost := map[string]int{}
	for _, e := range update.List {
		lost[e.Server] = e.Lost
	}
	assert.DeepEqual(t, lost, map[string]int{"p1": 0, "d1": 1})
	update = h.gateway.fleet.pendingUpdate(h.gateway.clock.Now().Add(4 * time.Second))
	assert.Equal(t, len(update.List), 0)
}
