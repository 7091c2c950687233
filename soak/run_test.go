package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortRun plays a short run with real processes: a planned stop, a death of
// all of control beside a change of the table, a lost disk, and a server that
// leaves while a link is reset.
func TestShortRun(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "ledgepin")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/ledgepin").CombinedOutput()
	assert.NilError(t, err, string(out))
	const length = 13 * time.Second
	plan := []Step{
		{At: 1 * second, Kind: StopGateway, Target: 0},
		{At: 1500 * time.Millisecond, Kind: ChangeTable},
		{At: 2 * second, Kind: KillAllControl, Target: 0, For: second},
		{At: 2200 * time.Millisecond, Kind: ChangeTable},
		{At: 3 * second, Kind: DrainServer, Target: 8},
		{At: 3500 * time.Millisecond, Kind: Reset, Target: 4},
		{At: 4 * second, Kind: BadTable},
		{At: 5 * second, Kind: KillServer, Target: 3, For: second},
		{At: 6 * second, Kind: KillGateway, Target: 1, For: second},
	}
	h, err := Run(t.Context(), Options{Binary: binary, Dir: dir, Seed: 1, Length: length, Shape: DefaultShape, Plan: plan})
	assert.NilError(t, err)
	broken := Check(h)
	if len(broken) > 0 {
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, log := range logs {
			data, _ := os.ReadFile(log)
			t.Logf("%s:\n%s", filepath.Base(log), data)
		}
	}
	for _, v := range broken {
		t.Error(v)
	}
	s := Summarize(h)
	assert.Assert(t, s.Served > 100 && s.Tables == 4 && s.Drains == 1, s.String())

	report := filepath.Join(dir, "report.html")
	assert.NilError(t, WriteReport(report, h, broken))
	page, err := os.ReadFile(report)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(page), "<img"), 3)
}
