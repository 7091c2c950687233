package compat

import "fmt"

// MaxVersion is the highest version that a range may hold: two bytes, as in the versions of
// TLS. A number above it is no version but an error, or somebody who tries what happens.
const MaxVersion = 65535

// Range is the versions that a build speaks, both ends included.
type Range struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

// Single is the range of a build that speaks one version.
func Single(version int) Range { return Range{Least: version, Most: version} }

// Valid tells whether the range makes sense: it has both ends, is not reversed and holds
// nothing but versions.
func (r Range) Valid() bool {
	return r.Least >= 1 && r.Most <= MaxVersion && r.Least <= r.Most
}

// Contains tells whether a version is in the range.
func (r Range) Contains(version int) bool { return r.Least <= version && version <= r.Most }

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
	return version, a.Contains(version) && b.Contains(version)
}
