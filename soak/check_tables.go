package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkInForce checks that the newest acknowledged table is in force at each gateway in time, and
// that a gateway never falls back to an older table.
func checkInForce(h *History) []string {
	var out []string
	probes := slices.Clone(h.Probes)
	sort.Slice(probes, func(i, j int) bool { return probes[i].Sent < probes[j].Sent })
	type process struct{ gateway, incarnation int }
	shown := map[process]Probe{}
	for _, p := range probes {
		key := process{p.Gateway, p.Incarnation}
		if p.Status == http.StatusOK {
			if newest := shown[key]; newest.Version > p.Version && newest.Ended < p.Sent {
				out = append(out, fmt.Sprintf("gateway %d showed table %d at %v after table %d", p.Gateway, p.Version, p.Sent, newest.Version))
			}
			if p.Version >= shown[key].Version {
				shown[key] = p
			}
		}
		if p.Status == http.StatusNotFound && h.mustShow(p) && !h.disturbed(gatewayName(p.Gateway), p.Sent, undisturbedTime) && !h.controlDisturbed(p.Sent) {
			out = append(out, fmt.Sprintf("gateway %d did not show table %d at %v", p.Gateway, p.Version, p.Sent))
		}
	}
	return out
}

// mustShow reports whether a probe requests the newest of all tables sent, long enough after its
// acknowledgement.
func (h *History) mustShow(p Probe) bool {
	acknowledged := false
	for _, put := range h.Puts {
		if put.Version > p.Version && put.Valid && put.Sent < p.Ended {
			return false
		}
		if put.Version == p.Version && put.Status == http.StatusOK && put.Ended+inForceBound < p.Sent {
			acknowledged = true
		}
	}
	return acknowledged
}

// controlDisturbed reports whether a fault hit control shortly before a moment. The planned
// replacement of a replica is no excuse.
func (h *History) controlDisturbed(at time.Duration) bool {
	for _, o := range h.Outages {
		if !o.Kind.Replaces() && strings.HasPrefix(o.Process, controlPrefix) && o.From <= at+disconnectBound && at-undisturbedTime <= o.To {
			return true
		}
	}
	return false
}

// tableInput is an operation on the table, as input of tableModel.
type tableInput struct {
	put     bool
	version int
}

// tableModel is a register that keeps the highest version.
var tableModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		version, in := state.(int), input.(tableInput)
		if in.put {
			return true, max(version, in.version)
		}
		return output.(int) == version, version
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkTables checks that reads and acknowledged changes of the table are linearizable as one
// register. A change without a clear answer may take effect at any later time or never, so it
// counts only if a read has shown it. A read may be as stale as the time in which a table must be
// in force, so its start is moved back by that time.
func checkTables(h *History) []string {
	seen := map[int]bool{}
	for _, r := range h.Reads {
		if r.Status == http.StatusOK {
			seen[r.Version] = true
		}
	}
	var ops []porcupine.Operation
	for i, p := range h.Puts {
		if !p.Valid || p.Status != http.StatusOK && !seen[p.Version] {
			continue
		}
		end := p.Ended
		if p.Status != http.StatusOK {
			end = h.Length + time.Hour
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: tableInput{true, p.Version}, Call: int64(p.Sent), Return: int64(end)})
	}
	for i, r := range h.Reads {
		if r.Status == http.StatusOK {
			ops = append(ops, porcupine.Operation{ClientId: len(h.Puts) + i, Input: tableInput{}, Output: r.Version, Call: int64(r.Sent - inForceBound), Return: int64(r.Ended)})
		}
	}
	if !porcupine.CheckOperations(tableModel, ops) {
		return []string{fmt.Sprintf("%d changes and reads are not linearizable as one table", len(ops))}
	}
	return checkFinalRead(h)
}

// checkFinalRead checks that the newest acknowledged table is read after the end of all faults.
func checkFinalRead(h *History) []string {
	newest, last := 0, -1
	for _, p := range h.Puts {
		if p.Valid && p.Status == http.StatusOK {
			newest = max(newest, p.Version)
		}
	}
	for _, r := range h.Reads {
		if r.Status == http.StatusOK {
			last = r.Version
		}
	}
	if last < newest {
		return []string{fmt.Sprintf("table %d was acknowledged, the last read has %d", newest, last)}
	}
	return nil
}

func checkInvalid(h *History) []string {
	var out []string
	for _, p := range h.Puts {
		if !p.Valid && p.Status == http.StatusOK {
			out = append(out, fmt.Sprintf("table %d is invalid and was acknowledged", p.Version))
		}
	}
	return out
}
