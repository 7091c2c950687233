package compat

import "fmt"

// MaxVersion is the highest valid version: two bytes, as for TLS versions. A higher
// number is an error or a probe.
const MaxVersion = 65535

// Range is the range of versions that a build supports, both ends included.
type Range struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

// Single returns the range of a build that supports one version.
func Single(version int) Range { return Range{Least: version, Most: version} }

// Valid reports whether both ends are set and valid versions, in order.
func (r Range) Valid() bool {
	return r.Least >= 1 && r.Most <= MaxVersion && r.Least <= r.Most
}

// Contains reports whether a version is in the range.
func (r Range) Contains(version int) bool { return r.Least <= version && version <= r.Most }

// String returns the range for messages, as "3" or "3 to 4".
func (r Range) String() string {
	if r.Least == r.Most {
		return fmt.Sprint(r.Least)
	}
	return fmt.Sprintf("%d to %d", r.Least, r.Most)
}

// Common returns the highest version that two ranges have in common. It reports false if
// there is none or a range is not valid.
func Common(a, b Range) (int, bool) {
	if !a.Valid() || !b.Valid() {
		return 0, false
	}
	version := min(a.Most, b.Most)
	return version, a.Contains(version) && b.Contains(version)
}
