package wal_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/wal"
)

// copyGolden copies a folder that build 55b4ff8 wrote.
func copyGolden(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS(filepath.Join("../control/testdata/55b4ff8", name))))
	return dir
}

// TestReadsFoldersOfOlderBuild requires folders that build 55b4ff8 wrote to be read with the same
// result as that build reads them.
func TestReadsFoldersOfOlderBuild(t *testing.T) {
	for _, c := range []struct {
		name    string
		hard    consensus.Hard
		last    uint64
		cut     bool
		ofTerms map[uint64]uint64 // the term of some entries
	}{
		{"whole", consensus.Hard{Term: 4}, 14, false, map[uint64]uint64{6: 2, 7: 3, 14: 3}},
		{"torn", consensus.Hard{Term: 3, Vote: "b"}, 14, true, map[uint64]uint64{6: 2, 7: 3, 14: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := copyGolden(t, c.name)
			j, o, err := wal.Open(dir)
			assert.NilError(t, err)
			r := o.Restored
			assert.Equal(t, o.TruncatedBytes > 0, c.cut)
			assert.Equal(t, r.Hard, c.hard)
			assert.Equal(t, r.Snapshot.Index, uint64(5))
			assert.Equal(t, r.Snapshot.Term, uint64(2))
			assert.DeepEqual(t, r.Snapshot.Members, consensus.Members{Voters: []string{"a", "b", "c"}})
			assert.Equal(t, r.Entries[len(r.Entries)-1].Index, c.last)
			for i, term := range c.ofTerms {
				assert.Equal(t, r.Entries[i-6].Term, term, "entry %d", i)
			}
			var members []consensus.Members
			for _, e := range r.Entries {
				if e.Members != nil {
					members = append(members, *e.Members)
				}
			}
			assert.DeepEqual(t, members, []consensus.Members{
				{Voters: []string{"a", "b", "c"}, Learners: []string{"d~01020304"}},
				{Voters: []string{"a", "b", "c", "d~01020304"}},
				{Voters: []string{"a", "b", "d~01020304"}},
			})
			assert.NilError(t, j.Append(nil, []consensus.Entry{entry(15, "more")}))
			assert.NilError(t, j.Close())
		})
	}
}
