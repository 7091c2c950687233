package dispatch

import "time"

// Handover is how decode engines answered a request whose prompt a prefill engine
// had read for them. A refusal is the fault of one side: the prefill engine's
// results lapse too soon or can't be fetched, or the decode engine takes no work,
// since its role changes and no one has told.
type Handover struct {
	// Prefill is the engine that read the prompt; empty if that is not in
	// question.
	Prefill string
	// Refused are the decode engines that turned the request away, in order.
	RefusedBy []string
	// Taken is the one that took it; empty if none did.
	AcceptedBy string
}

// Constants of blame for refusals.
const (
	// refusedAt is the number of refusals in a row, with no proof of whose fault
	// they are, after which an engine is left alone.
	refusalThreshold = 2
	// refusedBlock is how long a decode engine is left alone at first. Each try
	// costs a prompt read for nothing, and a change of its role takes seconds.
	refusalBlock = 1200 * time.Millisecond
)

// NoteHandover blames the engines that a refusal proves to be at fault. A KV cache
// that another engine has taken is good, so those that refused it are at fault; one
// that two have refused is not. A single refusal counts at both sides.
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

// suspect counts a refusal that may be an engine's fault.
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
