package dispatch

import "time"

// Handover is how decode engines answered a request whose prompt a prefill engine had
// prefilled for them. A refusal is the fault of one of the two: the prefill engine's results
// expire too soon or can't be fetched, or the decode engine accepts no work because of a role
// change that this gateway was not notified of.
type Handover struct {
	// Prefill is the engine that prefilled the prompt; empty if it can't be at fault.
	Prefill string
	// RefusedBy holds the decode engines that refused the request, in order.
	RefusedBy []string
	// AcceptedBy is the engine that accepted the request; empty if none did.
	AcceptedBy string
}

// Constants of refusals.
const (
	// refusalThreshold is the number of refusals in a row, without proof of which engine is
	// at fault, after which an engine is blocked.
	refusalThreshold = 2
	// refusalBlock is the shortest time for which a decode engine is blocked. Each attempt
	// wastes the prefill of a prompt, and a role change takes seconds.
	refusalBlock = 1200 * time.Millisecond
)

// NoteHandover blocks the engines that a refusal proves to be at fault. If another engine has
// accepted a KV cache, the engines that refused it are at fault; if two have refused it, the
// prefill engine is. A single refusal counts against both engines.
func (f *Fleet) NoteHandover(now time.Time, h Handover) {
	prefill := f.servers[h.Prefill]
	if s := f.servers[h.AcceptedBy]; s != nil {
		s.refusals = 0
	}
	switch {
	case h.AcceptedBy != "":
		if prefill != nil {
			prefill.refusals = 0
		}
		for _, id := range h.RefusedBy {
			f.blockServer(now, f.servers[id], refusalBlock)
		}
	case len(h.RefusedBy) > 1:
		f.blockServer(now, prefill, minBlock)
	case len(h.RefusedBy) == 1:
		f.countRefusal(now, prefill, minBlock)
		f.countRefusal(now, f.servers[h.RefusedBy[0]], refusalBlock)
	}
}

// countRefusal counts a refusal that may be an engine's fault, and blocks the engine at
// refusalThreshold.
func (f *Fleet) countRefusal(now time.Time, s *Server, minBlockTime time.Duration) {
	if s == nil {
		return
	}
	if s.refusals++; s.refusals >= refusalThreshold {
		f.blockServer(now, s, minBlockTime)
	}
}

func (f *Fleet) blockServer(now time.Time, s *Server, minBlockTime time.Duration) {
	if s != nil {
		s.refusals = 0
		s.health.block(now, minBlockTime)
	}
}
