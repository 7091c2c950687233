package compat

// The fleet's version counts as the versions of links do: a build that speaks a version on its
// links reads and writes what that version keeps.
const (
	// Base is the version where nothing is written: that of builds that know no versions.
	Base = 3
	// Evacuations is the version from which on evacuations of availability zones are kept.
	Evacuations = 5
	// Newest is the highest version that this build reads and writes.
	Newest = Evacuations
)
