package fleet

import (
	"slices"
	"strings"
	"time"
)

// Evacuation is an operator's order to begin or to finish the evacuation of an availability
// zone. The servers of an evacuated zone get no new work.
type Evacuation struct {
	Zone string `cbor:"1,keyasint,omitempty"`
	// Finished is set if the zone may get work again.
	Finished bool `cbor:"2,keyasint,omitempty"`
}

// EvacuatedZone is an availability zone whose servers get no new work.
type EvacuatedZone struct {
	Zone string `cbor:"1,keyasint,omitempty" json:"zone"`
	// Since is when the order was accepted, in Unix seconds by the clock of the replica that
	// accepted it.
	Since int64 `cbor:"2,keyasint,omitempty" json:"since"`
}

// EvacuatedZones returns the evacuated zones, sorted by name.
func (s *State) EvacuatedZones() []EvacuatedZone {
	var out []EvacuatedZone
	for zone, since := range s.evacuated {
		out = append(out, EvacuatedZone{Zone: zone, Since: since.Unix()})
	}
	slices.SortFunc(out, func(a, b EvacuatedZone) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}

// EvacuationRevision returns the number of changes of the set of evacuated zones, by which a
// receiver recognises a set that is older than the one it has.
func (s *State) EvacuationRevision() uint64 { return s.evacuations }

// applyEvacuation applies an order. One without effect succeeds: operators send an order again
// when they get no answer.
func (s *State) applyEvacuation(c Change) Result {
	zone := c.Evacuation.Zone
	if _, evacuated := s.evacuated[zone]; evacuated == c.Evacuation.Finished {
		s.evacuations++
		if evacuated {
			delete(s.evacuated, zone)
		} else {
			s.evacuated[zone] = time.Unix(c.When/int64(time.Second), 0).UTC()
		}
	}
	return Result{ID: c.ID, Revision: s.evacuations, OK: true}
}
