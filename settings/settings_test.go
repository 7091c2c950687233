package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/settings"
)

func loadTree(t *testing.T, name string) ([]byte, *settings.Tree) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	tree, err := settings.Parse(name, data)
	assert.NilError(t, err)
	return data, tree
}

// TestInvalidTreesAreRefused parses each file of testdata/bad; its first line is the text that the
// error must contain.
func TestInvalidTreesAreRefused(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 10)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			first, _, _ := strings.Cut(string(data), "\n")
			want := strings.TrimPrefix(first, "# want: ")
			_, err = settings.Parse("tree.yaml", data)
			assert.Assert(t, is.ErrorContains(err, want))
		})
	}
}

func TestExampleTreesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/tree.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		tree, err := settings.Parse(file, data)
		assert.NilError(t, err)
		assert.Equal(t, len(tree.Servers()), 12, "9 model servers and 3 service servers")
		assert.Equal(t, len(tree.Fleet.Sites), 3)
	}
}

func TestLimitsAreInherited(t *testing.T) {
	_, tree := loadTree(t, "tree.yaml")
	for _, c := range []struct {
		site, pool, model string
		want              settings.Value
	}{
		{"", "", "", settings.Value{Name: "slots", Value: "64", From: settings.LevelDefault}},
		{"", "", "", settings.Value{Name: "queue_limit", Value: "500", From: settings.LevelFleet}},
		{"north", "", "", settings.Value{Name: "queue_limit", Value: "300", From: settings.LevelSite}},
		{"south", "", "", settings.Value{Name: "queue_limit", Value: "500", From: settings.LevelFleet}},
		{"north", "decode", "", settings.Value{Name: "slots", Value: "32", From: settings.LevelPool}},
		{"north", "decode", "m", settings.Value{Name: "max_output_tokens", Value: "99", From: settings.LevelModel}},
		{"north", "prefill", "m", settings.Value{Name: "max_output_tokens", Value: "4096", From: settings.LevelDefault}},
	} {
		assert.Assert(t, is.Contains(tree.Explain(c.site, c.pool, c.model), c.want))
	}
	assert.Equal(t, tree.EffectiveAt("north", "decode", "m").Slots, 32)
	assert.Equal(t, tree.EffectiveAt("north", "decode", "m").MaxOutputTokens, 99)
}

func TestDiffAndSet(t *testing.T) {
	text, before := loadTree(t, "tree.yaml")
	after, err := settings.Set(text, []string{"fleet", "sites", "north", "queue_limit"}, "301")
	assert.NilError(t, err)
	tree, err := settings.Parse("after", after)
	assert.NilError(t, err)
	edits, err := settings.Diff(before, tree)
	assert.NilError(t, err)
	assert.DeepEqual(t, edits, []settings.Edit{{Path: "fleet.sites.north.queue_limit", Before: "300", After: "301"}})

	added, err := settings.Set(text, []string{"fleet", "retry_percent"}, "7")
	assert.NilError(t, err)
	tree, err = settings.Parse("added", added)
	assert.NilError(t, err)
	edits, err = settings.Diff(before, tree)
	assert.NilError(t, err)
	assert.Equal(t, edits[0].String(), "+ fleet.retry_percent: 7")

	_, err = settings.Set(text, []string{"fleet", "queue_limit", "x"}, "7")
	assert.ErrorContains(t, err, "not a mapping")
}

func TestGrants(t *testing.T) {
	_, tree := loadTree(t, "tree.yaml")
	g := tree.Grants()[settings.HashToken("secret")]
	assert.Equal(t, g, settings.Grant{Customer: "studio", Class: "desk"})
}

func TestDeltaReproducesText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := []byte(rapid.StringMatching("[ab]{0,20}").Draw(t, "from"))
		to := []byte(rapid.StringMatching("[ab]{0,20}").Draw(t, "to"))
		got, err := settings.NewDelta(from, to).Apply(from)
		if err != nil || string(got) != string(to) {
			t.Fatalf("got %q, %v", got, err)
		}
		other := append([]byte("x"), from...)
		if _, err := settings.NewDelta(from, to).Apply(other); err == nil {
			t.Fatalf("the delta was applied to a text that it was not made for")
		}
	})
}

// FuzzParse requires Parse either to refuse a text or to return a tree whose own text is accepted
// again.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/tree.yaml")
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte("fleet: {queue_limit: 1, sites: {a: {zone: z}}}"))
	f.Add([]byte("fleet: &a {sites: *a}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.Parse("fuzz", data)
		if err != nil {
			return
		}
		text, err := settings.Marshal(tree)
		assert.NilError(t, err)
		_, err = settings.Parse("again", text)
		assert.NilError(t, err, "%s", text)
		tree.Explain("a", "b", "c")
		tree.Servers()
	})
}
