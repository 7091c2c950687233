package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/ledgepin/ledgepin/config"
)

// TestExampleFilesAreValid loads every configuration file of the examples.
func TestExampleFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/process/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6)
	for _, file := range files {
		_, _, err := config.Load(file)
		assert.NilError(t, err)
	}
}

// TestInvalidFilesAreRefused parses each file of testdata; its first line is the text that the
// error must contain.
func TestInvalidFilesAreRefused(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 8)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			first, _, _ := strings.Cut(string(data), "\n")
			_, err = config.Parse("ledgepin.yaml", data)
			assert.Assert(t, is.ErrorContains(err, strings.TrimPrefix(first, "# want: ")))
		})
	}
}

// TestUpgradeAfterDefaultAndZero requires the time after which the fleet version rises to be
// optional, and zero to differ from a missing value.
func TestUpgradeAfterDefaultAndZero(t *testing.T) {
	const file = "name: a\nzone: z\noperators: 127.0.0.1:8081\ndata: d\nroles: [control]\n" +
		"control: {links: \"127.0.0.1:1\", members: {a: \"127.0.0.1:1\"}%s}\n"
	for _, c := range []struct {
		section string
		want    time.Duration
	}{
		{"", config.DefaultUpgradeAfter},
		{", upgrade: {}", config.DefaultUpgradeAfter},
		{", upgrade: {after: 0s}", 0},
		{", upgrade: {after: 90s}", 90 * time.Second},
	} {
		f, err := config.Parse("ledgepin.yaml", fmt.Appendf(nil, file, c.section))
		assert.NilError(t, err)
		assert.Equal(t, f.Control.Upgrade.AfterOrDefault(), c.want, c.section)
	}
	_, err := config.Parse("ledgepin.yaml", fmt.Appendf(nil, file, ", upgrade: {after: -1s}"))
	assert.ErrorContains(t, err, "control.upgrade.after")
}

func TestReadToken(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	got, err := config.ReadToken(write("good", "a token that is long enough\n"))
	assert.NilError(t, err)
	assert.Equal(t, got, "a token that is long enough")
	_, err = config.ReadToken(write("short", "abc"))
	assert.ErrorContains(t, err, "at least 16 characters")
	_, err = config.ReadToken(filepath.Join(dir, "none"))
	assert.ErrorContains(t, err, "no such file")
	got, err = config.ReadToken("")
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}

// TestHeldMemoryDefaults requires missing limits on held memory to be set to the defaults.
func TestHeldMemoryDefaults(t *testing.T) {
	const file = "name: a\nzone: z\noperators: 127.0.0.1:8081\nroles: [gateway]\n" +
		"gateway: {callers: \"127.0.0.1:1\", ready: \"127.0.0.1:2\", seeds: [\"127.0.0.1:3\"], links_port: 4%s}\n"
	for section, want := range map[string]config.HeldMemory{
		"":                     config.DefaultHeldMemory,
		", held: {share: 0.2}": {Share: 0.2, Organisation: config.DefaultHeldMemory.Organisation},
		", held: {share: 0.2, organisation: 0.25}": {Share: 0.2, Organisation: 0.25},
	} {
		f, err := config.Parse("ledgepin.yaml", fmt.Appendf(nil, file, section))
		assert.NilError(t, err, section)
		assert.Equal(t, f.Gateway.Held, want, section)
	}
	_, err := config.Parse("ledgepin.yaml", fmt.Appendf(nil, file, ", held: {share: 0.9}"))
	assert.ErrorContains(t, err, "gateway.held.share")
}
