package spread_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/spread"
)

// FuzzFile reads arbitrary files: one that is accepted must be what Write writes for its
// content, and settings that can't be parsed must not change the store.
func FuzzFile(f *testing.F) {
	dir := f.TempDir()
	assert.NilError(f, spread.NewFile(dir).Write(7, []byte("fleet: {}\n")))
	path := filepath.Join(dir, "settings.kept")
	good, err := os.ReadFile(path)
	assert.NilError(f, err)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(good[:3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		path := filepath.Join(dir, "settings.kept")
		assert.NilError(t, os.WriteFile(path, data, 0o600))
		file := spread.NewFile(dir)
		revision, text, err := file.Read()
		if err != nil {
			assert.Equal(t, revision, uint64(0))
			return
		}
		assert.NilError(t, file.Write(revision, text))
		again, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, data)
		s := &spread.Store{}
		if s.Load(revision, text) != nil {
			assert.Assert(t, s.Tree() == nil && s.Revision() == 0)
		}
	})
}
