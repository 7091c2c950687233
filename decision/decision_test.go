package decision_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/placement"
)

func TestRingIsBounded(t *testing.T) {
	r := decision.NewRing(10)
	for i := range 100 {
		rec := r.GetOrCreate(fmt.Sprint(i))
		for range 1000 {
			rec.Add(decision.Step{Kind: decision.Retried})
		}
	}
	assert.Equal(t, r.Len(), 10)
	_, ok := r.Find("89")
	assert.Assert(t, !ok)
	rec, ok := r.Find("90")
	assert.Assert(t, ok && len(rec.Steps) < 100 && rec.Omitted == 1000-len(rec.Steps))
	assert.Equal(t, r.GetOrCreate("95").ID, "95")
	assert.Equal(t, r.Len(), 10, "an existing record takes no additional space")
}

func TestMergedRecordAsText(t *testing.T) {
	at := time.Unix(1000, 0)
	entry := decision.Record{ID: "r", Customer: "studio", Class: "desk", Model: "m", Steps: []decision.Step{
		{At: at, Kind: decision.Arrived, Process: "entry-1"},
		{At: at.Add(3 * time.Millisecond), Kind: decision.Chosen, Process: "entry-1", Attempt: 1, Candidates: []placement.Candidate{
			{Server: "p1", Exclusion: placement.Busy}, {Server: "p2", ReadyIn: 40 * time.Millisecond, Cached: 256},
		}},
	}}
	agent := decision.Record{ID: "r", Steps: []decision.Step{{At: at.Add(time.Millisecond), Kind: decision.Reserved, Process: "p2", Server: "p2"}}}
	var out bytes.Buffer
	assert.NilError(t, decision.Merge([]decision.Record{agent, entry}).Write(&out))
	lines := strings.Split(out.String(), "\n")
	assert.Equal(t, lines[0], "request r of studio, class desk, model m")
	assert.Assert(t, strings.Contains(lines[1], "arrived"))
	assert.Assert(t, strings.Contains(lines[2], "reserved at p2"), "in order of time, whichever process recorded the step")
	assert.Assert(t, strings.Contains(out.String(), "not p1: prefills ahead"))
	assert.Assert(t, strings.Contains(out.String(), "could be p2: ready in 40ms, 256 tokens cached"))
}
