// Package cli implements the command line of ledgepin.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/config"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/sighup"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/settings"
)

// Exit codes of Main.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Version is the version of this build.
const Version = "0.1.0"

// commands is the grammar of the command line for kong.
type commands struct {
	Dev      devCmd      `cmd:"" help:"Run every role in this process, with stand-in engines."`
	Run      runCmd      `cmd:"" help:"Run the roles of a settings file."`
	Check    checkCmd    `cmd:"" help:"Check a settings file of a process or a settings tree."`
	Settings settingsCmd `cmd:"" help:"Read or change the settings tree."`
	Upgrade  upgradeCmd  `cmd:"" help:"Show or raise the fleet's version."`
	Evacuate evacuateCmd `cmd:"" help:"Keep new work from an availability zone, or give it back."`
	Dump     dumpCmd     `cmd:"" help:"Print the state of a process."`
	Explain  explainCmd  `cmd:"" help:"Tell the story of a request."`
	Events   eventsCmd   `cmd:"" help:"Print the catalogue of events."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// commandIO is the context and the output streams of a command.
type commandIO struct {
	ctx      context.Context
	out, err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c commands
	k, err := kong.New(&c, kong.Name("ledgepin"), kong.Writers(out, errOut), kong.UsageOnError(), kong.Exit(func(code int) { panic(exitCode(code)) }),
		kong.Description("A router for separate prefill and decode pools."))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	return runKong(ctx, k, args, out, errOut)
}

// exitCode is the value of the panic that ends kong's parser with an exit code, after it has
// printed help.
type exitCode int

func runKong(ctx context.Context, k *kong.Kong, args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exitCode)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	kctx, err := k.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "ledgepin:", err)
		return ExitUsage
	}
	if err := kctx.Run(&commandIO{ctx: ctx, out: out, err: errOut}); err != nil {
		fmt.Fprintln(errOut, "ledgepin:", errorText(err))
		return ExitFailed
	}
	return ExitOK
}

// errorText returns the text of the first fault.Error in the chain of err, which has the code and
// the peer, or else the text of err.
func errorText(err error) string {
	var f *fault.Error
	if errors.As(err, &f) {
		return f.Error()
	}
	return err.Error()
}

type devCmd struct {
	Listen         string        `default:"127.0.0.1:8080" help:"Address for callers."`
	OperatorListen string        `default:"127.0.0.1:8081" help:"Address for operators."`
	TokenTime      time.Duration `default:"30ms" help:"Time between the tokens of the stand-in engines."`
	PrefillRate    float64       `default:"8000" help:"Prefill rate of the stand-in engines in tokens a second."`
	LogLevel       string        `default:"warn" enum:"debug,info,warn,error" help:"Level of the log on standard error."`
}

// Run implements the dev command.
func (c *devCmd) Run(s *commandIO) error {
	ctx, stop := signal.NotifyContext(s.ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log, _ := config.Log{Level: c.LogLevel, Format: "text"}.Logger()
	d, err := app.StartDev(ctx, app.DevOptions{
		Listen: c.Listen, OperatorListen: c.OperatorListen, TokenTime: c.TokenTime, PrefillRate: c.PrefillRate, Log: log,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Hints(s.out); err != nil {
		return err
	}
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
	defer cancel()
	d.Drain(drainCtx)
	return nil
}

type runCmd struct {
	Config string `required:"" type:"path" env:"LEDGEPIN_CONFIG" help:"Settings file of the process."`
}

// Run implements the run command.
func (c *runCmd) Run(s *commandIO) error {
	f, data, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(s.ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log, flush := f.Log.Logger()
	defer flush()
	p, err := app.Start(f, log)
	if err != nil {
		return err
	}
	defer p.Close()
	go p.Watch(ctx, c.Config, data, sighup.C)
	<-ctx.Done()
	stop() // a second signal terminates the process at once
	p.Drain(context.WithoutCancel(ctx))
	return nil
}

type checkCmd struct {
	File string `arg:"" type:"path" help:"File to check."`
	Tree bool   `help:"The file is a settings tree, not the settings of a process."`
}

// Run implements the check command.
func (c *checkCmd) Run(s *commandIO) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Tree {
		_, err = settings.Parse(c.File, data)
	} else {
		_, err = config.Parse(c.File, data)
		if _, treeErr := settings.Parse(c.File, data); err != nil && treeErr == nil {
			return fmt.Errorf("%s is a settings tree, not the settings of a process: use --tree", c.File)
		}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, c.File+": ok")
	return err
}

type eventsCmd struct {
	Markdown bool `help:"Print the page docs/EVENTS.md."`
	Metrics  bool `help:"Print the page docs/METRICS.md."`
	Codes    bool `help:"Print the table of error codes for docs/API.md."`
}

// Run implements the events command.
func (c *eventsCmd) Run(s *commandIO) error {
	switch {
	case c.Markdown:
		return event.WriteMarkdown(s.out)
	case c.Metrics:
		return metric.WriteMarkdown(s.out)
	case c.Codes:
		return fault.WriteMarkdown(s.out)
	}
	for _, e := range event.Catalogue() {
		if _, err := fmt.Fprintf(s.out, "%s %-5s %s\n", e.ID, e.Severity, e.Title); err != nil {
			return err
		}
	}
	return nil
}

type versionCmd struct{}

// Run implements the version command.
func (c *versionCmd) Run(s *commandIO) error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	_, err := fmt.Fprintf(s.out, "ledgepin %s (%s)\n", Version, goVersion)
	return err
}
