package wire

import (
	"fmt"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/fault"
)

// Versions of the protocol.
const (
	// BaseVersion is sent in field 1 of a Hello: builds without ranges refuse any other.
	BaseVersion = 3
	// RangesVersion is the first version whose builds send the range that they support.
	RangesVersion = 4
	// EvacuationsVersion is the first version whose gateways send no new work to availability
	// zones that are being evacuated, and bound what they send to cold servers.
	EvacuationsVersion = 5
	// LimitsVersion is the first version whose gateways send requests to servers that report a
	// rate limit only with tokens from control.
	LimitsVersion = 6
	// LeavingVersion is the first version whose replicas accept a gateway's report that a server
	// is leaving.
	LeavingVersion = 7
	// OriginsVersion is the first version whose processes record at which software version
	// streams began.
	OriginsVersion = 8
	// PartsVersion is the first version whose processes track the parts of prompts that were
	// running when servers ended.
	PartsVersion = 9
)

// Versions are the versions that this build supports.
var Versions = compat.Range{Least: BaseVersion, Most: PartsVersion}

// maxBuildBytes bounds the name of a build: a module's version with its time and commit has
// about forty bytes.
const maxBuildBytes = 64

// maxHelloBytes bounds the frame of a hello, so that a peer that has not identified
// itself yet can occupy little memory: hellos have about a hundred bytes.
const maxHelloBytes = 64 << 10

// Roles that a Hello may name.
const (
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	RoleControl = "control"
	// RoleGateway is an entry that serves the routes of a routing table.
	RoleGateway = "gateway"
	// RoleAsker is a starting process that only requests settings.
	RoleAsker = "asker"
	// RoleFounder is a control replica with an empty disk that asks whether the
	// group has been founded.
	RoleFounder = "founder"
)

// Hello is the first message of each side of a link.
type Hello struct {
	// Version is always BaseVersion; the versions that the process supports are in Least
	// and Most.
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Role    string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Epoch is the start time of the process, so that a restart is detected.
	Epoch int64 `cbor:"5,keyasint"`
	// Revision is the settings revision that the process has.
	Revision uint64 `cbor:"6,keyasint"`
	// Commit is the commit index of a control replica; zero while its log is empty.
	Commit uint64 `cbor:"7,keyasint,omitempty"`
	// Least and Most are the range of versions that the process supports; builds without
	// ranges send neither.
	Least int `cbor:"8,keyasint,omitempty"`
	Most  int `cbor:"9,keyasint,omitempty"`
	// Build is the name of the build, for logs.
	Build string `cbor:"10,keyasint,omitempty"`
}

// Range returns the versions that the peer supports: the range that it sent, or its one
// version if it sent none.
func (h *Hello) Range() compat.Range {
	if h.Least == 0 && h.Most == 0 {
		return compat.Single(h.Version)
	}
	return compat.Range{Least: h.Least, Most: h.Most}
}

// VersionError is the error that two ends of a link have no version in common.
type VersionError struct {
	// Name and Build are the peer's, as it sent them.
	Name, Build  string
	Ours, Theirs compat.Range
}

// Error returns the peer's name, its build and both ranges.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%.64q (build %q) speaks version %v, this process %v", e.Name, e.Build, e.Theirs, e.Ours)
}

// negotiate returns the highest version that both ends support.
func (h *Hello) negotiate(ours compat.Range, addr string) (int, error) {
	bad := func(format string, args ...any) (int, error) {
		return 0, fault.New(fault.BadPeer, fault.StepLink, addr, fmt.Sprintf(format, args...))
	}
	theirs := h.Range()
	switch {
	case !theirs.Valid():
		return bad("the hello has versions from %d to %d, want 1 to %d in ascending order", theirs.Least, theirs.Most, compat.MaxVersion)
	case h.Least == 0 && h.Version >= RangesVersion:
		return bad("the hello has version %d and no range", h.Version)
	case !printable(h.Build):
		return bad("the build name of %d bytes is not short plain text", len(h.Build))
	}
	version, ok := compat.Common(ours, theirs)
	if !ok {
		mismatch := &VersionError{Name: h.Name, Build: h.Build, Ours: ours, Theirs: theirs}
		return 0, fault.Wrap(mismatch, fault.VersionsApart, fault.StepLink, addr)
	}
	return version, nil
}

// printable reports whether a build's name may be written to a log line.
func printable(build string) bool {
	if len(build) > maxBuildBytes {
		return false
	}
	for _, c := range []byte(build) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}
