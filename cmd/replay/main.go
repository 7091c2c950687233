// Command replay simulates load patterns against the decisions of gateways and prints a table of
// the results, for tuning policies.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/ledgepin/ledgepin/replay"
)

type command struct {
	Patterns []string `arg:"" type:"existingfile" help:"Files of load patterns, as replay/testdata/*.yaml."`
	Seed     uint64   `default:"1" help:"The first seed; another one is another load of the same kind."`
	Plays    int      `default:"3" help:"How many seeds are played."`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Simulates load patterns against the decisions of gateways."))
	for _, path := range c.Patterns {
		if err := c.play(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func (c *command) play(path string) error {
	p, err := replay.Read(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s\n", filepath.Base(path), p.Why)
	for seed := c.Seed; seed < c.Seed+uint64(c.Plays); seed++ {
		for _, v := range []struct {
			name string
			o    replay.Options
		}{
			{"ledgepin", replay.Options{}},
			{"failures not shared", replay.Options{NoFailureSharing: true}},
			{"queue timeout 0.22 of target", replay.Options{QueueTimeout: func(t time.Duration) time.Duration { return t * 22 / 100 }}},
			{"queue timeout = target", replay.Options{QueueTimeout: func(t time.Duration) time.Duration { return t }}},
			{"least loaded", replay.Options{Policy: replay.LeastLoaded}},
			{"round robin", replay.Options{Policy: replay.RoundRobin()}},
		} {
			v.o.Seed = seed
			fmt.Printf("  %-28s %s\n", v.name, replay.Play(p, v.o))
		}
	}
	return nil
}
