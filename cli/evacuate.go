package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ledgepin/ledgepin/fleet"
)

type evacuateCmd struct {
	Start  evacuateStartCmd  `cmd:"" help:"Have the servers of an availability zone get no new work. What runs there ends as usual."`
	Finish evacuateFinishCmd `cmd:"" help:"Have the servers of an availability zone get work again."`
	Status evacuateStatusCmd `cmd:"" help:"Show which availability zones get no new work."`
}

type evacuateStartCmd struct {
	target
	Zone string `arg:"" help:"The availability zone."`
}

// Run implements the evacuate start command.
func (c *evacuateStartCmd) Run(s *commandIO) error { return c.evacuate(s, c.Zone, "start") }

type evacuateFinishCmd struct {
	target
	Zone string `arg:"" help:"The availability zone."`
}

// Run implements the evacuate finish command.
func (c *evacuateFinishCmd) Run(s *commandIO) error { return c.evacuate(s, c.Zone, "finish") }

func (t *target) evacuate(s *commandIO, zone, action string) error {
	var zones []fleet.EvacuatedZone
	if err := t.callAny(s.ctx, http.MethodPost, "/v1/evacuations/"+url.PathEscape(zone)+"/"+action, nil, &zones); err != nil {
		return err
	}
	return printEvacuated(s.out, zones)
}

type evacuateStatusCmd struct{ target }

// Run implements the evacuate status command.
func (c *evacuateStatusCmd) Run(s *commandIO) error {
	var zones []fleet.EvacuatedZone
	if err := c.callAny(s.ctx, http.MethodGet, "/v1/evacuations", nil, &zones); err != nil {
		return err
	}
	return printEvacuated(s.out, zones)
}

func printEvacuated(w io.Writer, zones []fleet.EvacuatedZone) error {
	if len(zones) == 0 {
		_, err := fmt.Fprintln(w, "no availability zone is evacuated")
		return err
	}
	for _, z := range zones {
		if _, err := fmt.Fprintf(w, "%s is evacuated since %s\n", z.Zone, time.Unix(z.Since, 0).UTC().Format(time.RFC3339)); err != nil {
			return err
		}
	}
	return nil
}
