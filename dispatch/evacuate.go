package dispatch

import "time"

// SetEvacuated sets the availability zones that get no new work. Requests under way there end
// as usual; later choices are made among the other zones.
func (f *Fleet) SetEvacuated(now time.Time, zones []string) {
	f.evacuated = map[string]bool{}
	for _, zone := range zones {
		f.evacuated[zone] = true
	}
	for _, s := range f.servers {
		if s.evacuated && !f.evacuated[s.Zone] {
			s.cold.restoredAt = now
		}
		s.evacuated = f.evacuated[s.Zone]
	}
	f.groups = nil
}
