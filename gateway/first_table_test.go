package gateway

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/freeport"
)

// TestGatewayWithoutTableLogsItsLinks checks that a gateway that gets no table logs what it has
// received from each replica, so that an operator can tell replicas that can't be reached from ones
// that don't confirm.
func TestGatewayWithoutTableLogsItsLinks(t *testing.T) {
	log, address := &testLog{}, freeport.Addr(t)
	g := Start(Config{Name: "g", Zone: "z", Protocol: protocol, Seeds: []string{address}, Log: slog.New(slog.NewTextHandler(log, nil))})
	t.Cleanup(g.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, line := range log.linesOf(event.NoTableYet) {
			if strings.Contains(line, address+": dialing for") && strings.Contains(line, "refused") {
				return poll.Success()
			}
		}
		return poll.Continue("no line with the state of the link")
	}, poll.WithTimeout(5*time.Second))
}
