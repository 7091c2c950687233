package gateway

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/internal/freeport"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/wire"
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

// startReplica starts a stand-in for a replica that sends a message on each link once it may, and
// answers requests for a table newer than a version.
func startReplica(t *testing.T, name string, may <-chan struct{}, first *wire.Routes, newer func(have uint64) *wire.Routes) (address string) {
	t.Helper()
	options := wire.Options{Hello: func() wire.Hello { return wire.Hello{Name: name, Role: wire.RoleControl} }}
	server := httptest.NewServer(wire.Handler(slog.New(slog.DiscardHandler), options, func(l *wire.Link) {
		go func() {
			select {
			case <-may:
				_ = l.Send(&wire.Message{Routes: first})
			case <-t.Context().Done():
			}
			for t.Context().Err() == nil && l.Send(&wire.Message{Heartbeat: &wire.Heartbeat{}}) == nil {
				time.Sleep(100 * time.Millisecond) // or the gateway would open the link again
			}
		}()
		_ = l.Run(t.Context(), func(m *wire.Message) {
			if m.Routes == nil {
				return
			}
			if answer := newer(m.Routes.Version); answer != nil {
				_ = l.Send(&wire.Message{Routes: answer})
			}
		})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestConfirmedTableIsFetchedDespiteUnconfirmedOne starts a gateway to which one replica confirms a
// version, while another that does not confirm it sends the table: the gateway had no table until the
// next version.
func TestConfirmedTableIsFetchedDespiteUnconfirmedOne(t *testing.T) {
	table := &route.Table{Version: 3}
	none := func(uint64) *wire.Routes { return nil }
	linked, announced := make(chan struct{}), make(chan struct{})
	unconfirmed := startReplica(t, "a", announced, &wire.Routes{Version: 3, Table: table}, none)
	confirming := startReplica(t, "b", linked, &wire.Routes{Version: 3, Confirmed: true}, func(have uint64) *wire.Routes {
		if have >= 3 {
			return nil
		}
		return &wire.Routes{Version: 3, Table: table, Confirmed: true}
	})
	g := Start(Config{Name: "g", Zone: "z", Protocol: protocol, Seeds: []string{unconfirmed, confirming}, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(g.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(g.links.openPeers()) < 2 {
			return poll.Continue("not linked")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	close(linked)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.links.mu.Lock()
		defer g.links.mu.Unlock()
		if !g.links.peers[confirming].announced.confirmed {
			return poll.Continue("not announced")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	close(announced)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.table.Load() == nil {
			return poll.Continue("no table")
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second))
}
