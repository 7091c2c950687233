package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/operator"
)

type upgradeCmd struct {
	Status upgradeStatusCmd `cmd:"" help:"Show the fleet's version, the builds of control, and what holds the next version back."`
	Raise  upgradeRaiseCmd  `cmd:"" help:"Raise the fleet's version now. Older builds can't be gone back to after that."`
}

type upgradeStatusCmd struct {
	target
	JSON bool `name:"json" help:"Print JSON."`
}

// Run implements the upgrade status command.
func (c *upgradeStatusCmd) Run(s *commandIO) error {
	var u control.UpgradeStatus
	if err := c.callAny(s.ctx, http.MethodGet, "/v1/upgrade", nil, &u); err != nil {
		return err
	}
	return printUpgrade(s.out, u, c.JSON)
}

type upgradeRaiseCmd struct {
	target
	JSON bool `name:"json" help:"Print JSON."`
}

// Run implements the upgrade raise command. It returns an error if the version was not raised,
// since scripts may continue with steps that require the new version.
func (c *upgradeRaiseCmd) Run(s *commandIO) error {
	var u control.UpgradeStatus
	if err := c.callAny(s.ctx, http.MethodPost, "/v1/upgrade/raise", operator.Raise{Who: username()}, &u); err != nil {
		return err
	}
	if err := printUpgrade(s.out, u, c.JSON); err != nil {
		return err
	}
	if len(u.Blockers) > 0 && u.Blockers[0].Cause != compat.CauseNewest {
		return errors.New("the version was not raised")
	}
	return nil
}

func printUpgrade(w io.Writer, u control.UpgradeStatus, asJSON bool) error {
	if asJSON {
		data, err := json.MarshalIndent(u, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(w, string(data))
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "version %d is in force\n", u.Version)
	for _, m := range u.Members {
		fmt.Fprintf(&b, "  %-24s %-8s reads %-8s build %s%s\n", m.ID, memberKind(m), rangeText(m.Versions), orUnknown(m.Build), textIf(m.Silent, ", silent"))
	}
	for _, blocker := range append(u.Blockers, u.AutomaticBlockers...) {
		if blocker.Cause != compat.CauseNewest {
			fmt.Fprintf(&b, "version %d waits: %s\n", u.Next, blockerText(blocker))
		}
	}
	if u.Since != nil && u.Next != 0 {
		fmt.Fprintf(&b, "all members read version %d since %s\n", u.Next, u.Since.Format(time.RFC3339))
	}
	if u.Next == 0 {
		fmt.Fprintln(&b, "this build knows no higher version")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func memberKind(m control.UpgradeMember) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Voter:
		return "voter"
	}
	return "learner"
}

func rangeText(r *compat.Range) string {
	if r == nil {
		return "?"
	}
	return r.String()
}

func orUnknown(build string) string {
	if build == "" {
		return "unknown"
	}
	return build
}

func textIf(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

// blockerText describes a blocker to an operator.
func blockerText(blocker compat.Blocker) string {
	switch blocker.Cause {
	case compat.CauseProposed:
		return "it was proposed and is not yet in force"
	case compat.CauseNeverReported:
		return blocker.Member + " has not reported to the leader yet"
	case compat.CauseUnable:
		return fmt.Sprintf("%s reads %s", blocker.Member, rangeText(blocker.Range))
	case compat.CauseSilent:
		return blocker.Member + " is disconnected"
	case compat.CauseSettling:
		return fmt.Sprintf("it rises by itself in %s, or with ledgepin upgrade raise", blocker.Remaining.Round(time.Second))
	case compat.CauseOperatorOnly:
		return "it rises with ledgepin upgrade raise"
	}
	return string(blocker.Cause)
}
