package origin

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxVersions bounds the versions of a service that are kept. Which ones these are doesn't matter:
// with more than one, a stream needs a record.
const maxVersions = 64

// SeenVersion is a software version that servers of a service have had recently.
type SeenVersion struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Age is the time since a server had it.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Versions records which software versions the servers of each service have had recently. It isn't
// safe for concurrent use.
type Versions struct {
	seen map[string]map[string]time.Time
}

// Note records that a server of a service had a version at a time, and reports whether the version
// is new. Servers that report no version are not recorded.
func (v *Versions) Note(at time.Time, service, version string) bool {
	if version == "" {
		return false
	}
	if v.seen == nil {
		v.seen = map[string]map[string]time.Time{}
	}
	list := v.seen[service]
	if list == nil {
		list = map[string]time.Time{}
		v.seen[service] = list
	}
	last, known := list[version]
	if !known && len(list) >= maxVersions {
		return false
	}
	if at.After(last) {
		list[version] = at
	}
	return !known
}

// Mixed reports whether the servers of a service have had more than one version recently.
func (v *Versions) Mixed(service string) bool { return len(v.seen[service]) > 1 }

// Of returns the recent versions of a service.
func (v *Versions) Of(service string) []string { return slices.Sorted(maps.Keys(v.seen[service])) }

// Sole returns the only version that servers of a service have had recently; empty if none has
// reported one. It returns false if there was more than one.
func (v *Versions) Sole(service string) (string, bool) {
	list := v.seen[service]
	for version := range list {
		return version, len(list) == 1
	}
	return "", true
}

// List returns the versions of the services that have had more than one, in order.
func (v *Versions) List(now time.Time) []SeenVersion {
	var out []SeenVersion
	for service, list := range v.seen {
		if len(list) < 2 {
			continue
		}
		for version, at := range list {
			out = append(out, SeenVersion{service, version, max(now.Sub(at), 0)})
		}
	}
	slices.SortFunc(out, func(a, b SeenVersion) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(a.Version, b.Version)
	})
	return out
}

// Merge records the versions that a peer has seen, and reports whether one of them is new.
func (v *Versions) Merge(now time.Time, list []SeenVersion) bool {
	changed := false
	for _, s := range list {
		if s.Age >= 0 && s.Age <= Retention && v.Note(now.Add(-s.Age), s.Service, s.Version) {
			changed = true
		}
	}
	return changed
}

// Sweep removes the versions that no server has had for longer than Retention, and returns the
// services that have only one left.
func (v *Versions) Sweep(now time.Time) (unmixed []string) {
	for service, list := range v.seen {
		before := len(list)
		for version, at := range list {
			if now.Sub(at) > Retention {
				delete(list, version)
			}
		}
		if before > 1 && len(list) <= 1 {
			unmixed = append(unmixed, service)
		}
		if len(list) == 0 {
			delete(v.seen, service)
		}
	}
	return unmixed
}
