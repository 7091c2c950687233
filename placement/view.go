package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// View is all that an entry knows of the backend servers in its reach.
type View struct {
	zone    string
	rng     *rand.Rand
	servers map[string]*Server
	prefill []*Server
	decode  []*Server
	holders *holderIndex
	best    map[string]bestRates
}

// NewView returns an empty view for an entry in a zone. The random source
// breaks ties and picks samples.
func NewView(zone string, rng *rand.Rand) *View {
	return &View{zone: zone, rng: rng, servers: map[string]*Server{}, holders: newHolderIndex(), best: map[string]bestRates{}}
}

// Set enters a server or brings what the settings say of it up to date. What
// was learnt of it stays, also which models it has: those of the settings are
// only loaded when its agent says so.
func (v *View) Set(i ServerConfig) *Server {
	s := v.servers[i.Name]
	if s == nil {
		s = newServer(i)
		v.servers[i.Name] = s
		v.index()
		return s
	}
	changed := s.Role != i.Role
	s.ServerConfig = i
	s.slots = i.Slots
	if changed {
		v.index()
	}
	return s
}

// Remove forgets a server.
func (v *View) Remove(name string) {
	delete(v.servers, name)
	v.index()
}

func (v *View) index() {
	v.prefill, v.decode = nil, nil
	for _, name := range slices.Sorted(maps.Keys(v.servers)) {
		s := v.servers[name]
		switch s.Role {
		case "prefill":
			v.prefill = append(v.prefill, s)
		case "decode":
			v.decode = append(v.decode, s)
		}
	}
}

// Server returns a server by name, or nil.
func (v *View) Server(name string) *Server { return v.servers[name] }

// Prefill lists the prefill servers; the slice is the view's own.
func (v *View) Prefill() []*Server { return v.prefill }

// Decode lists the decode servers; the slice is the view's own.
func (v *View) Decode() []*Server { return v.decode }

// Rand returns the view's random source.
func (v *View) Rand() *rand.Rand { return v.rng }

// SetUp tells that the link to a server's agent is there or lost.
func (v *View) SetConnected(name string, up bool) {
	if s := v.servers[name]; s != nil {
		s.connected = up
	}
}

// SetLeaving tells that a server is leaving or back.
func (v *View) SetLeaving(name string, leaving bool) {
	if s := v.servers[name]; s != nil {
		s.leaving = leaving
	}
}

// Report takes a load report.
func (v *View) Report(name string, l Load) {
	s := v.servers[name]
	if s == nil {
		return
	}
	s.otherSlots = l.Others
	s.slots = l.Slots
	s.leaving = l.Leaving
	s.otherTransfers = l.Transfers
	s.otherTokens = [Priorities]int32{}
	copy(s.otherTokens[:], l.Backlog)
	if l.NoModels || len(l.Models) > 0 {
		s.setModels(l.Models)
	}
	for _, h := range l.Cached {
		s.cachedPrefixes.add(h)
		v.holders.set(h, s)
	}
}

// Usable tells whether any server pair serves the model, now or soon.
func (v *View) ServesModel(model string) bool {
	return anyServes(v.prefill, model) && anyServes(v.decode, model)
}

func anyServes(list []*Server, model string) bool {
	for _, s := range list {
		if s.connected && !s.leaving && s.models[model] {
			return true
		}
	}
	return false
}

// PrefillSent notes that this entry has prefill work at a server.
func (v *View) PrefillReserved(s *Server, priority, tokens int) {
	s.ownTokens[priority] += int32(tokens)
	s.ownPrefills[priority]++
	s.ownSlots++
	s.health.StartProbe()
}

// PrefillGone notes that the work has ended in whatever way.
func (v *View) PrefillReleased(s *Server, priority, tokens int) {
	s.ownTokens[priority] -= int32(tokens)
	s.ownPrefills[priority]--
	s.ownSlots--
}

// PrefillDone learns from a prefill that went well. Took covers the time at
// the engine without the wait, and computed the tokens not found in its cache.
func (v *View) PrefillDone(s *Server, hashes []uint64, computed, cached int, took time.Duration) {
	s.health.RecordSuccess()
	if computed > 0 && took > 0 {
		s.prefillRate += smoothingWeight * (float64(computed)/took.Seconds() - s.prefillRate)
	}
	v.recordPrefixes(s, hashes, computed, cached)
}

// learnPrefixes notes that the server has the whole prompt now. A hint that
// the engine's answer proved wrong has been overwritten by this.
func (v *View) recordPrefixes(s *Server, hashes []uint64, computed, cached int) {
	if computed+cached == 0 {
		return
	}
	for _, h := range hashes {
		s.cachedPrefixes.add(h)
		v.holders.set(h, s)
	}
}

// Forget drops all prefix hints of a server, for an engine that restarted.
func (v *View) ForgetPrefixes(s *Server) { s.cachedPrefixes = newPrefixSet(maxPrefixes) }

// SlotTaken notes that this entry holds a decode slot at a server.
func (v *View) SlotReserved(s *Server) {
	s.ownSlots++
	s.health.StartProbe()
}

// SlotFreed notes that the slot is free again.
func (v *View) SlotReleased(s *Server) { s.ownSlots-- }

// DecodeOK learns the time between tokens of a decode that went well.
func (v *View) DecodeDone(s *Server, perToken time.Duration) {
	s.health.RecordSuccess()
	if perToken > 0 {
		s.tokenTime += time.Duration(smoothingWeight * float64(perToken-s.tokenTime))
	}
}

// Failed takes a failure that the server is to blame for; it reports true if
// the server is ejected by it.
func (v *View) RecordFailure(now time.Time, s *Server) bool { return s.health.RecordFailure(now) }

// TransferStarted notes a transfer of this entry between two servers.
func (v *View) TransferStarted(from, to *Server) {
	from.ownTransfers++
	to.ownTransfers++
}

// TransferEnded notes that it has ended in whatever way.
func (v *View) TransferEnded(from, to *Server) {
	from.ownTransfers--
	to.ownTransfers--
}
