package compat

import "fmt"

// Highest is the highest version that a range may hold: two bytes, as in the versions of
// TLS. A number above it is no version but an error, or somebody who tries what happens.
const Highest = 65535

// Range is the versions that a build speaks, both ends included.
type Range struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

// Only is the range of a build that speaks one version.
func Only(version int) Range { return Range{Least: version, Most: version} }

// Valid tells whether the range makes sense: it has both ends, is not reversed and holds
// nothing but versions.
func (r Range) Valid() bool {
	return r.Least >= 1 && r.Most <= Highest && r.Least <= r.Most
}

// Holds tells whether a version is in the range.
func (r Range) Holds(version int) bool { return r.Least <= version && version <= r.Most }

// String returns the range as people read it.
func (r Range) String() string {
	if r.Least == r.Most {
		return fmt.Sprint(r.Least)
	}
	return fmt.Sprintf("%d to %d", r.Least, r.Most)
}

// Common returns the highest version that two ranges have in common. There is none if one
// of them makes no sense.
func Common(a, b Range) (int, bool) {
	if !a.Valid() || !b.Valid() {
		return 0, false
	}
	version := min(a.Most, b.Most)
	return version, a.Holds(version) && b.Holds(version)
}
