package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// View holds the state of the backend servers of an entry. It is not safe for
// concurrent use.
type View struct {
	zone    string
	rng     *rand.Rand
	servers map[string]*Server
	prefill []*Server
	decode  []*Server
	holders *holderIndex
	best    map[string]bestRates
}

// NewView returns an empty view for an entry in a zone. The random source is used
// to sample long lists of servers.
func NewView(zone string, rng *rand.Rand) *View {
	return &View{zone: zone, rng: rng, servers: map[string]*Server{}, holders: newHolderIndex(), best: map[string]bestRates{}}
}

// Set adds a server or updates its settings. Its load, its speed and its models
// stay as they are: the models of the settings are loaded only when its agent
// reports them.
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

// Remove deletes a server.
func (v *View) Remove(name string) {
	delete(v.servers, name)
	v.index()
}

// index updates the lists of servers by role, sorted by name.
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

// Server returns the server with a name, or nil.
func (v *View) Server(name string) *Server { return v.servers[name] }

// Prefill returns the prefill servers; the caller must not modify the slice.
func (v *View) Prefill() []*Server { return v.prefill }

// Decode returns the decode servers; the caller must not modify the slice.
func (v *View) Decode() []*Server { return v.decode }

// Rand returns the view's random source.
func (v *View) Rand() *rand.Rand { return v.rng }

// SetConnected records whether there is a link to a server's agent.
func (v *View) SetConnected(name string, up bool) {
	if s := v.servers[name]; s != nil {
		s.connected = up
	}
}

// SetLeaving records whether a server is leaving.
func (v *View) SetLeaving(name string, leaving bool) {
	if s := v.servers[name]; s != nil {
		s.leaving = leaving
	}
}

// SetSoftware sets the version of a server's software.
func (v *View) SetSoftware(name, software string) {
	if s := v.servers[name]; s != nil {
		s.software = software
	}
}

// ServesSoftware reports whether some decode server of a model has a version.
func (v *View) ServesSoftware(model, software string) bool {
	for _, s := range v.decode {
		if s.connected && !s.leaving && s.models[model] && s.software == software {
			return true
		}
	}
	return false
}

// Report applies a load report of a server.
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

// ServesModel reports whether a connected pair of servers has the model, even if
// it has no capacity now.
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

// PrefillReserved adds prefill work of this entry to the load of a server.
func (v *View) PrefillReserved(s *Server, priority, tokens int) {
	s.ownTokens[priority] += int32(tokens)
	s.ownPrefills[priority]++
	s.ownSlots++
	s.health.StartProbe()
}

// PrefillReleased removes the work, whether it completed or failed.
func (v *View) PrefillReleased(s *Server, priority, tokens int) {
	s.ownTokens[priority] -= int32(tokens)
	s.ownPrefills[priority]--
	s.ownSlots--
}

// PrefillDone records a successful prefill: its prefix hashes, the tokens that
// were computed and found in the cache, and the time at the engine without the
// wait.
func (v *View) PrefillDone(s *Server, hashes []uint64, computed, cached int, took time.Duration) {
	s.health.RecordSuccess()
	if computed > 0 && took > 0 {
		s.prefillRate += smoothingWeight * (float64(computed)/took.Seconds() - s.prefillRate)
	}
	v.recordPrefixes(s, hashes, computed, cached)
}

// recordPrefixes records that the server has cached the complete prompt. It
// replaces an earlier holder that turned out to be wrong.
func (v *View) recordPrefixes(s *Server, hashes []uint64, computed, cached int) {
	if computed+cached == 0 {
		return
	}
	for _, h := range hashes {
		s.cachedPrefixes.add(h)
		v.holders.set(h, s)
	}
}

// ForgetPrefixes deletes the prefixes of a server whose engine restarted.
func (v *View) ForgetPrefixes(s *Server) { s.cachedPrefixes = newPrefixSet(maxPrefixes) }

// SlotReserved adds a decode slot of this entry to the load of a server.
func (v *View) SlotReserved(s *Server) {
	s.ownSlots++
	s.health.StartProbe()
}

// SlotReleased removes a decode slot of this entry.
func (v *View) SlotReleased(s *Server) { s.ownSlots-- }

// DecodeDone records a successful decode and its mean time between tokens.
func (v *View) DecodeDone(s *Server, perToken time.Duration) {
	s.health.RecordSuccess()
	if perToken > 0 {
		s.tokenTime += time.Duration(smoothingWeight * float64(perToken-s.tokenTime))
	}
}

// RecordFailure records a failure that the server caused, and reports whether the
// server is ejected because of it.
func (v *View) RecordFailure(now time.Time, s *Server) bool { return s.health.RecordFailure(now) }

// TransferStarted adds a transfer of this entry to the links of two servers.
func (v *View) TransferStarted(from, to *Server) {
	from.ownTransfers++
	to.ownTransfers++
}

// TransferEnded removes a transfer, whether it completed or failed.
func (v *View) TransferEnded(from, to *Server) {
	from.ownTransfers--
	to.ownTransfers--
}
