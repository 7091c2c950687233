package settings_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/settings"
)

// FuzzDelta applies deltas, which processes send each other, with any numbers and texts, and
// requires the delta from one text to another to give the second text.
func FuzzDelta(f *testing.F) {
	f.Add([]byte("a: 1\nb: 2\n"), []byte("a: 1\nb: 3\n"), 3, 4)
	f.Add([]byte(""), []byte("x"), -1, 1<<62)
	f.Fuzz(func(t *testing.T, before, after []byte, head, tail int) {
		d := settings.NewDelta(before, after)
		got, err := d.Apply(before)
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(after))
		d.Head, d.Tail = head, tail
		if got, err := d.Apply(before); err == nil {
			assert.Equal(t, len(got), head+tail+len(d.Middle))
		}
	})
}

// FuzzSet requires Set to survive any text, path and value.
func FuzzSet(f *testing.F) {
	data, err := os.ReadFile("testdata/tree.yaml")
	assert.NilError(f, err)
	f.Add(data, "fleet", "x", "1")
	f.Add([]byte("a: &x [*x]\n"), "a", "b", "*x")
	f.Add([]byte("? [1]\n: 2\n"), "a", "", "{}")
	f.Fuzz(func(t *testing.T, text []byte, first, second, value string) {
		out, err := settings.Set(text, []string{first, second}, value)
		if err == nil {
			_, _ = settings.Parse("settings", out)
		}
	})
}
