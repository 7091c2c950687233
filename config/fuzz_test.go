package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/config"
)

// FuzzParse requires Parse to survive any text and to return only valid values.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"../deploy/*.yaml", "../examples/*.yaml", "../examples/*/*.yaml", "testdata/*.yaml"} {
		files, err := filepath.Glob(pattern)
		assert.NilError(f, err)
		for _, file := range files {
			data, err := os.ReadFile(file)
			assert.NilError(f, err)
			f.Add(data)
		}
	}
	f.Add([]byte("name: g\nzone: z\nroles: [gateway]\ndrain: 9e9h\ngateway: {callers: \"127.0.0.1:80\", seeds: [\"127.0.0.1:1\"], retry: {ratio: .nan, slack: 5, window: 10s}}\n"))
	f.Add([]byte("name: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := config.Parse("file", data)
		if err != nil {
			return
		}
		assert.Assert(t, c.Name != "" && len(c.Roles) > 0 && c.Drain > 0, "%+v", c)
		if g := c.Gateway; g != nil {
			assert.Assert(t, g.Retry.Ratio >= 0 && g.Retry.Window > 0, "%+v", g.Retry)
		}
	})
}
