package app

import (
	"bytes"
	"context"
	"os"
	"strconv"
	"time"

	"github.com/ledgepin/ledgepin/config"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
)

// watchEvery is the time between two looks at the settings file, which may
// change without a signal.
const watchInterval = 2 * time.Second

// Watch takes changes of the settings file until the context ends: at a signal,
// and when its content changes. It starts from the content that the process was
// started with: the file may have changed since. A file with a fault changes
// nothing.
func (p *Process) Watch(ctx context.Context, path string, last []byte, changed <-chan os.Signal) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
		data, err := os.ReadFile(path)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		p.reload(path, data)
	}
}

// reload takes what may change while the process runs: the seeds.
func (p *Process) reload(path string, data []byte) {
	f, err := config.Parse(path, data)
	if err != nil {
		event.ReloadRefused.Log(p.log, "file", path, "error", fault.From(err))
		return
	}
	event.Reloaded.Log(p.log, "file", path)
	if p.gateway != nil && f.Gateway != nil {
		p.gateway.SetSeeds(withPort(f.Gateway.Seeds, strconv.Itoa(f.Gateway.LinksPort)))
	}
	if p.control != nil && f.Control != nil && f.Control.Discovery != nil {
		p.control.SetSeeds(withPort(f.Control.Discovery.Seeds, portOf(f.Control.Links)))
	}
}
