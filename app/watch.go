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

// watchInterval is the interval at which the settings file is read, since it may
// change without a signal.
const watchInterval = 2 * time.Second

// Watch applies changes of the settings file at path until ctx is done. It reads
// the file at intervals and at each signal on changed. It compares the file with
// last, the content that the process was started with, since the file may have
// changed in the meantime. An invalid file is logged and changes nothing.
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

// reload applies the settings that may change while the process runs: the seeds.
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
