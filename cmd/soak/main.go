// Command soak plays seeded runs of a small deployment of real ledgepin
// processes with faults made from outside, and checks what must always hold.
//
//	go build -o ledgepin ./cmd/ledgepin
//	go run ./cmd/soak --binary ./ledgepin --seeds 50 --length 30s --keep finds
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/ledgepin/ledgepin/soak"
)

type options struct {
	Binary     string        `required:"" type:"existingfile" help:"The ledgepin binary to run."`
	From       uint64        `default:"1" help:"The first seed."`
	Seeds      int           `default:"1" help:"How many seeds to play, one after the other."`
	Length     time.Duration `default:"30s" help:"How long callers send requests in each run."`
	Controls   int           `default:"3" help:"Replicas of control."`
	Gateways   int           `default:"3" help:"Gateways."`
	Keep       string        `default:"soak-finds" help:"The folder that keeps history and logs of runs that break a rule."`
	Report     string        `help:"Write a page with plots of the last run to this file."`
	KeepAll    bool          `help:"Keep history and logs of all runs."`
	PlainTexts bool          `help:"Events of streams hold plain words only."`
	Plan       bool          `help:"Print the plan of the first seed and end."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Plays runs of a deployment with faults and checks what must always hold."))
	shape := soak.DefaultShape
	shape.Controls, shape.Gateways = o.Controls, o.Gateways
	if o.Plan {
		for _, step := range soak.NewPlan(o.From, o.Length, shape) {
			fmt.Println(step)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := playAll(ctx, o, shape); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		stop()
		os.Exit(1)
	}
}

// playAll plays all seeds; a rule that is broken is an error.
func playAll(ctx context.Context, o options, shape soak.Shape) error {
	var total soak.Summary
	broken := 0
	for n := range o.Seeds {
		seed := o.From + uint64(n)
		h, violations, err := play(ctx, o, shape, seed)
		if err != nil {
			return err
		}
		s := soak.Summarize(h)
		total.Add(s)
		fmt.Printf("seed %d: %s\n", seed, s)
		for _, v := range violations {
			fmt.Println("   broken:", v)
		}
		if len(violations) > 0 {
			broken++
		}
		if o.Report != "" {
			if err := soak.WriteReport(o.Report, h, violations); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d runs, %d with a rule broken: %s\n", o.Seeds, broken, total)
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a rule; see %s", broken, o.Seeds, o.Keep)
	}
	return nil
}

// play plays one seed, and keeps what was seen if a rule was broken.
func play(ctx context.Context, o options, shape soak.Shape, seed uint64) (*soak.History, []soak.Violation, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	binary, err := filepath.Abs(o.Binary)
	if err != nil {
		return nil, nil, err
	}
	h, err := soak.Run(ctx, soak.Options{Binary: binary, Dir: dir, Seed: seed, Length: o.Length, Shape: shape, PlainTexts: o.PlainTexts})
	if err != nil {
		return nil, nil, err
	}
	violations := soak.Check(h)
	if len(violations) > 0 || o.KeepAll {
		if err := soak.Keep(filepath.Join(o.Keep, fmt.Sprint("seed-", seed)), dir, h, violations); err != nil {
			return nil, nil, err
		}
	}
	return h, violations, nil
}
