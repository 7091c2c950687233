package fleet

import (
	"slices"
	"strings"
	"time"
)

// Evacuation is an operator's order about an availability zone: that its servers get no new
// work, or that they may get it again.
type Evacuation struct {
	Zone string `cbor:"1,keyasint,omitempty"`
	// Finished tells that the zone may get work again.
	Finished bool `cbor:"2,keyasint,omitempty"`
}

// EvacuatedZone is an availability zone whose servers get no new work.
type EvacuatedZone struct {
	Zone string `cbor:"1,keyasint,omitempty" json:"zone"`
	// Since is when the order was taken, in Unix seconds by the clock of the replica that
	// took it.
	Since int64 `cbor:"2,keyasint,omitempty" json:"since"`
}

// Evacuated returns the zones that are being evacuated, by name.
func (s *State) EvacuatedZones() []EvacuatedZone {
	var out []EvacuatedZone
	for zone, since := range s.evacuated {
		out = append(out, EvacuatedZone{Zone: zone, Since: since.Unix()})
	}
	slices.SortFunc(out, func(a, b EvacuatedZone) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}

// Evacuations counts the changes of what is evacuated, so that whoever was told of a later one
// knows an earlier one.
func (s *State) EvacuationRevision() uint64 { return s.evacuations }

// applyEvacuation takes an order. One that changes nothing counts as taken: operators send an
// order again when they get no answer.
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
