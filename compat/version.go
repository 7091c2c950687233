package compat

// The fleet's version counts as the versions of links do: a build that speaks a version on its
// links reads and writes what that version keeps.
const (
	// Base is the version where nothing is written: that of builds that know no versions.
	Base = 3
	// Evacuations is the version from which on evacuations of availability zones are kept.
	Evacuations = 5
	// ServerLimits is the version of links that tell of the limits of servers. It keeps nothing more.
	ServerLimits = 6
	// LeaveReports is the first version whose replicas take the report of a gateway that a server
	// leaves; nothing of that is kept.
	LeaveReports = 7
	// Newest is the highest version that this build reads and writes.
	Newest = LeaveReports
	// NewestStored is the highest version from which on anything more is kept. This build raises the
	// fleet's version no further, so that the build before can be gone back to.
	NewestStored = Evacuations
)
