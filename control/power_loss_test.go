package control_test

import (
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/diskfile"
)

// powerLossDisk is the disk of a VM that can lose power. What is not synced then is lost.
type powerLossDisk struct {
	mu       sync.Mutex
	powerCut bool
	file     *os.File
	path     string
	// synced is the size of the file at the last sync.
	synced int64
}

func (p *powerLossDisk) open(path string) (diskfile.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.powerCut, p.file, p.path = false, f, path
	return p, p.markSynced()
}

// markSynced records that the whole file is synced. Callers hold p.mu.
func (p *powerLossDisk) markSynced() error {
	info, err := p.file.Stat()
	if err == nil && !p.powerCut {
		p.synced = info.Size()
	}
	return err
}

func (p *powerLossDisk) Write(b []byte) (int, error) { return p.file.Write(b) }
func (p *powerLossDisk) Close() error                { return p.file.Close() }
func (p *powerLossDisk) Truncate(size int64) error   { return p.file.Truncate(size) }
func (p *powerLossDisk) Sync() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.file.Sync(); err != nil {
		return err
	}
	return p.markSynced()
}

// cutPower cuts the power, which is back when the file is opened again.
func (p *powerLossDisk) cutPower() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.powerCut = true
}

// dropUnsynced removes what was not synced when the power was cut.
func (p *powerLossDisk) dropUnsynced() error { return os.Truncate(p.path, p.synced) }

// TestAcknowledgedTableSurvivesPowerAndDiskLoss checks repeatedly that an acknowledged
// table survives if, at the time of the acknowledgement, all five replicas lose power and
// two of them lose their disks.
func TestAcknowledgedTableSurvivesPowerAndDiskLoss(t *testing.T) {
	c := &cluster{t: t}
	disks := map[*node]*powerLossDisk{}
	for i := range 5 {
		n := c.prepare(true)
		disks[n] = &powerLossDisk{}
		n.files = logFS{diskfile.OS, disks[n].open}
		if i < 3 {
			c.seeds = append(c.seeds, n.addr)
		}
	}
	for _, n := range c.nodes {
		c.start(n)
		t.Cleanup(n.stop)
	}
	r := rand.New(rand.NewPCG(1, 2))
	for version := uint64(1); version <= 4; version++ {
		c.awaitVoters(5)
		c.put(version)
		for _, d := range disks {
			d.cutPower()
		}
		wiped := r.Perm(len(c.nodes))[:2]
		for _, n := range c.nodes {
			n.stop()
			assert.NilError(t, disks[n].dropUnsynced())
		}
		for _, i := range wiped {
			n := c.nodes[i]
			assert.NilError(t, os.RemoveAll(n.dir))
			assert.NilError(t, os.Mkdir(n.dir, 0o700))
		}
		for _, n := range c.nodes {
			n.bootstrap = false
			c.start(n)
		}
		c.expectTable(version)
		t.Logf("version %d survived the loss of the disks of replicas %v", version, wiped)
	}
}
