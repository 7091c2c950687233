package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/ledgepin/ledgepin/backend"
	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/eventstream"
	"github.com/ledgepin/ledgepin/metric"
)

// cutOffCauses are the errors of an answer that its server, or the network, cut off. The pool closes
// the connections to an incarnation that has been replaced, which gives net.ErrClosed.
var cutOffCauses = []error{
	io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, net.ErrClosed, errPartialEvent,
	errEndless, backend.ErrTooLong, eventstream.ErrTooLong,
}

// wasCutOff reports whether the error of a request that its server had received means that the answer
// was cut off: by a reset, a close, or the end of the server's process, or by the gateway because the
// server sends bytes without end. A timeout, or a caller that doesn't read, shows nothing of that
// kind, and neither does a run that the gateway has stopped.
func wasCutOff(err error) bool {
	if errors.Is(err, errCallerWrite) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	for _, cause := range cutOffCauses {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// noteLossChanges logs and counts the engines that are ejected, probed or used again because of lost
// answers.
func (g *Gateway) noteLossChanges(now time.Time) {
	changes, ejected := g.fleet.lossChanges(now)
	metric.LossEjectedEngines.WithLabelValues(g.cfg.Name).Set(float64(ejected))
	for _, c := range changes {
		switch {
		case c.Ejected:
			event.EngineEjected.Log(g.log, "server", c.Server, "lost", c.Losses, "ms", c.For.Milliseconds())
		case c.Probed:
			event.EngineProbed.Log(g.log, "server", c.Server, "ejected_ms", c.For.Milliseconds())
		case c.Back:
			event.EngineBack.Log(g.log, "server", c.Server, "ejected_ms", c.For.Milliseconds())
		}
	}
}

// lossChanges returns the changes since the last call, and the number of engines that are ejected or
// probed now.
func (f *fleet) lossChanges(now time.Time) ([]dispatch.LossChange, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.TakeLossChanges(), f.view.CountLossEjected(now)
}
