// Command soak runs a small deployment of real ledgepin processes under load and injected faults,
// by seed, and checks the rules of package soak.
//
//	go build -o ledgepin ./cmd/ledgepin
//	go run ./cmd/soak --binary ./ledgepin --seeds 50 --length 30s --keep finds
//	go run ./cmd/soak --binary ./ledgepin --production COMMIT --seeds 20 --length 22s --paired
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
	PlainTexts bool          `help:"Events of streams hold plain text only."`
	Production string        `help:"A commit of the repository: all processes start on its build, and are replaced by the binary's."`
	Paired     bool          `help:"With production: play each seed once more without an upgrade."`
	Calm       bool          `help:"Planned work only, no faults."`
	Without    []string      `help:"Kinds of faults that are left out, as the production build alone may break rules under them."`
	Plan       bool          `help:"Print the plan of the first seed and end."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Plays runs of a deployment with faults and checks what must always hold."))
	shape := soak.DefaultShape
	shape.Controls, shape.Gateways = o.Controls, o.Gateways
	if o.Plan {
		printPlan(o, shape)
		return
	}
	if o.Paired && o.Production == "" {
		fmt.Fprintln(os.Stderr, "soak: --paired requires --production")
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := runSeeds(ctx, o, shape); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		stop()
		os.Exit(1)
	}
}

func kindsOf(names []string) []soak.Kind {
	out := make([]soak.Kind, 0, len(names))
	for _, n := range names {
		out = append(out, soak.Kind(n))
	}
	return out
}

// printPlan prints the plan of the first seed.
func printPlan(o options, shape soak.Shape) {
	for _, step := range soak.NewPlan(o.From, o.Length, shape) {
		fmt.Println(step)
	}
	if o.Production == "" {
		return
	}
	order, path, steps := soak.NewUpgrade(o.From, shape)
	fmt.Println(order + ", " + path)
	for _, step := range steps {
		fmt.Println(step)
	}
}

// runSeeds performs the runs of all seeds. It returns an error if a run breaks a rule.
func runSeeds(ctx context.Context, o options, shape soak.Shape) error {
	if o.Production != "" {
		binary, remove, err := buildCommit(ctx, ".", o.Production)
		if err != nil {
			return err
		}
		defer remove()
		o.Production = binary
	}
	var total soak.Summary
	broken := 0
	for n := range o.Seeds {
		seed := o.From + uint64(n)
		h, violations, err := runSeed(ctx, o, shape, seed, false)
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
		if o.Production != "" {
			fmt.Println("   upgrade:", soak.SummarizeUpgrade(h))
		}
		if o.Paired {
			more, err := runPaired(ctx, o, shape, h)
			if err != nil {
				return err
			}
			broken += more
		}
		if o.Report != "" {
			if err := soak.WriteReport(o.Report, h, violations); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d seeds, %d runs with a rule broken: %s\n", o.Seeds, broken, total)
	if broken > 0 {
		return fmt.Errorf("%d runs of %d seeds broke a rule; see %s", broken, o.Seeds, o.Keep)
	}
	return nil
}

// runPaired repeats a run without an upgrade and prints the share of served requests of both runs,
// during the upgrade and in total. It returns 1 if the repeated run breaks a rule.
func runPaired(ctx context.Context, o options, shape soak.Shape, upgraded *soak.History) (broken int, err error) {
	h, violations, err := runSeed(ctx, o, shape, upgraded.Seed, true)
	if err != nil {
		return 0, err
	}
	u := soak.SummarizeUpgrade(upgraded)
	during, n := soak.ServedShare(upgraded, u.From, u.To)
	duringWithout, nWithout := soak.ServedShare(h, u.From, u.To)
	all, _ := soak.ServedShare(upgraded, 0, h.Length)
	allWithout, _ := soak.ServedShare(h, 0, h.Length)
	fmt.Printf("   without:  %s\n", soak.SummarizeUpgrade(h))
	fmt.Printf("   served:   %.4f of %d during the upgrade, %.4f of %d without it; %.4f in all, %.4f without it\n", during, n, duringWithout, nWithout, all, allWithout)
	for _, v := range violations {
		fmt.Println("   broken without an upgrade:", v)
	}
	return min(len(violations), 1), nil
}

// runSeed performs the run of one seed and keeps its history and logs if a rule is broken. With
// noUpgrade, no process is replaced.
func runSeed(ctx context.Context, o options, shape soak.Shape, seed uint64, noUpgrade bool) (*soak.History, []soak.Violation, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	binary, err := filepath.Abs(o.Binary)
	if err != nil {
		return nil, nil, err
	}
	h, err := soak.Run(ctx, soak.Options{Binary: binary, Dir: dir, Seed: seed, Length: o.Length, Shape: shape, PlainTexts: o.PlainTexts, Production: o.Production, NoUpgrade: noUpgrade, PlannedOnly: o.Calm, Without: kindsOf(o.Without)})
	if err != nil {
		return nil, nil, err
	}
	violations := soak.Check(h)
	if len(violations) > 0 || o.KeepAll {
		name := fmt.Sprint("seed-", seed)
		if noUpgrade {
			name += "-without"
		}
		if err := soak.SaveRun(filepath.Join(o.Keep, name), dir, h, violations); err != nil {
			return nil, nil, err
		}
	}
	return h, violations, nil
}
