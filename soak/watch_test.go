package soak

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusedLinksAreCounted checks that log lines about refused links are counted by process, as
// either build writes them, and lines about lost links are not.
func TestRefusedLinksAreCounted(t *testing.T) {
	dir := t.TempDir()
	cl := &cluster{rec: &recorder{}, processes: map[string]*process{}}
	const first = `{"event":"LP3003","error":{"code":"bad_peer","detail":"protocol version 2, want 3"}}`
	for name, text := range map[string]string{
		"gateway-0": `{"event":"LP3001"}` + "\n" + first + "\n" + `{"event":"LP3005","error":{"code":"versions_apart"}}` + "\n",
		"control-0": `{"event":"LP3003","error":"a replica without identity"}` + "\n",
		"control-1": `{"event":"LP3003","error":{"code":"link_lost"}}` + "\n" + `{"event":"LP3002","error":{"code":"link_lost"}}` + "\n",
	} {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		cl.processes[name] = &process{name: name, logPath: path}
	}
	assert.NilError(t, cl.countRefusals())
	got := cl.rec.h.Refusals
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Process, "control-0")
	assert.DeepEqual(t, got[1], Refusal{"gateway-0", 2, first})
}
