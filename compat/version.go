package compat

// The fleet's version follows the versions of links: a build that supports a version on
// its links reads and writes all data that this version stores.
const (
	// Base is the version of builds that exchange no versions. With it, no version is
	// stored.
	Base = 3
	// Evacuations is the first version that stores evacuations of availability zones.
	Evacuations = 5
	// ServerLimits is the first version of links that carries the limits of servers. It
	// stores nothing more.
	ServerLimits = 6
	// LeaveReports is the first version whose replicas accept a gateway's report that a
	// server is leaving. It stores nothing more.
	LeaveReports = 7
	// StreamOrigins is the first version whose processes record at which software version
	// streams began. It stores nothing more.
	StreamOrigins = 8
	// PromptParts is the first version whose processes track the parts of prompts that were
	// running when servers ended. It stores nothing more in the log.
	PromptParts = 9
	// Newest is the highest version that this build reads and writes.
	Newest = PromptParts
	// NewestStored is the highest version that stores something new. This build raises
	// the fleet's version no further, so that a downgrade to the previous build remains
	// possible.
	NewestStored = Evacuations
)
