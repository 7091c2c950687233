package wire

import (
	"fmt"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/fault"
)

// Versions of the protocol.
const (
	// BaseVersion is what field 1 of a Hello holds: builds without ranges refuse any other.
	BaseVersion = 3
	// RangesVersion is the first version whose builds tell the range that they speak.
	RangesVersion = 4
	// EvacuationsVersion is the first version whose gateways keep work from availability zones
	// that are being evacuated, and bound what they send to servers that are cold.
	EvacuationsVersion = 5
	// LimitsVersion is the first version whose gateways send to servers that name a limit only
	// under tokens of control.
	LimitsVersion = 6
	// LeavingVersion is the first version whose replicas take the report of a gateway that a server
	// leaves.
	LeavingVersion = 7
)

// Versions are those that this build speaks.
var Versions = compat.Range{Least: BaseVersion, Most: LeavingVersion}

// maxBuildBytes bounds the name of a build in bytes: a module's version with its time and
// commit has some forty.
const maxBuildBytes = 64

// maxHelloBytes bounds the frame of a hello in bytes, so that somebody who is not known yet can
// have little kept: hellos have some hundred.
const maxHelloBytes = 64 << 10

// Roles that a Hello may name.
const (
	RoleEntry   = "entry"
	RoleAgent   = "agent"
	RoleControl = "control"
	// RoleGateway is an entry that serves the routes of a routing table.
	RoleGateway = "gateway"
	// RoleAsker is a process that starts and asks for settings only.
	RoleAsker = "asker"
	// RoleFounder is a control replica with an empty disk that asks whether the
	// group has been founded.
	RoleFounder = "founder"
)

// Hello opens a link.
type Hello struct {
	// Version is BaseVersion for ever; the versions that the process speaks are in Least
	// and Most.
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Role    string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Epoch is the start of the process, so that a restart is seen.
	Epoch int64 `cbor:"5,keyasint"`
	// Revision is the settings revision that the process holds.
	Revision uint64 `cbor:"6,keyasint"`
	// Commit is the commit index of a control replica; zero while it is empty.
	Commit uint64 `cbor:"7,keyasint,omitempty"`
	// Least and Most are the range of versions that the process speaks; both are missing
	// from builds that know no ranges.
	Least int `cbor:"8,keyasint,omitempty"`
	Most  int `cbor:"9,keyasint,omitempty"`
	// Build is the name of the build, for people.
	Build string `cbor:"10,keyasint,omitempty"`
}

// Range returns the versions that the peer speaks: the range that it tells, or its one
// version if it tells none.
func (h *Hello) Range() compat.Range {
	if h.Least == 0 && h.Most == 0 {
		return compat.Single(h.Version)
	}
	return compat.Range{Least: h.Least, Most: h.Most}
}

// VersionError tells that two ends of a link speak no version in common.
type VersionError struct {
	// Name and Build are the peer's, as it told them.
	Name, Build  string
	Ours, Theirs compat.Range
}

// Error returns both ranges in words.
func (a *VersionError) Error() string {
	return fmt.Sprintf("%.64q (build %q) speaks version %v, this process %v", a.Name, a.Build, a.Theirs, a.Ours)
}

// negotiate returns the version to speak with a peer: the highest that both ends know.
func (h *Hello) negotiate(ours compat.Range, addr string) (int, error) {
	bad := func(format string, args ...any) (int, error) {
		return 0, fault.New(fault.BadPeer, fault.StepLink, addr, fmt.Sprintf(format, args...))
	}
	theirs := h.Range()
	switch {
	case !theirs.Valid():
		return bad("the hello tells versions from %d to %d, want 1 to %d in order", theirs.Least, theirs.Most, compat.MaxVersion)
	case h.Least == 0 && h.Version >= RangesVersion:
		return bad("the hello tells version %d and no range", h.Version)
	case !printable(h.Build):
		return bad("the build's name of %d bytes is no short plain text", len(h.Build))
	}
	version, ok := compat.Common(ours, theirs)
	if !ok {
		mismatch := &VersionError{Name: h.Name, Build: h.Build, Ours: ours, Theirs: theirs}
		return 0, fault.Wrap(mismatch, fault.VersionsApart, fault.StepLink, addr)
	}
	return version, nil
}

// printable tells whether a build's name can stand in a line of a log.
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
