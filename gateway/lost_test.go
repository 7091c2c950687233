package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

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
	for _, tt := range []struct {
		ctx  context.Context
		err  error
		want dispatch.Outcome
	}{
		{live, &net.OpError{Op: "read", Err: syscall.ECONNRESET}, dispatch.Lost},
		{live, &backend.Error{Sent: true, Cause: io.EOF}, dispatch.Lost},
		{live, net.ErrClosed, dispatch.Lost}, // the pool ended a replaced incarnation
		{live, errPartialEvent, dispatch.Lost},
		{live, fmt.Errorf("%w: %w", errCallerWrite, syscall.ECONNRESET), dispatch.Failure},
		{live, errRunStopped, dispatch.Failure},
		{live, nil, dispatch.Failure},
		{expired, net.ErrClosed, dispatch.Failure},
		{live, fmt.Errorf("%w: %w", errNoMemory, net.ErrClosed), dispatch.Neutral},
	} {
		assert.Equal(t, outcomeOf(tt.ctx, result{kind: broken, err: tt.err}), tt.want, "%v", tt.err)
	}
}

// TestCutStreamsAreReported checks that a stream that its engine cuts off is reported at once to the
// other gateways, and nothing of the engine that prefilled its prompt.
func TestCutStreamsAreReported(t *testing.T) {
	h := newHarness(t)
	h.add("llm", "p1", registry.Prefill)
	h.add("llm", "d1", registry.Decode).SetFault(faultOnce(standin.CutStream, isDecode))
	assert.Assert(t, h.send("POST", "/review/1", "q1", "x", workHeaders).truncated)
	lost := map[string]int{}
	for _, e := range h.gateway.fleet.pendingUpdate(h.gateway.clock.Now()).List {
		lost[e.Server] = e.Lost
	}
	assert.DeepEqual(t, lost, map[string]int{"p1": 0, "d1": 1})
}
