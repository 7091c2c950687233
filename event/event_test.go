package event_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/event"
)

func TestEventsAreCompleteAndUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, e := range event.Catalogue() {
		assert.Assert(t, regexp.MustCompile(`^LP\d{4}$`).MatchString(e.ID), e.ID)
		assert.Assert(t, !seen[e.ID], "%s is defined twice", e.ID)
		seen[e.ID] = true
		assert.Assert(t, e.Title != "" && e.Text != "" && e.Action != "" && e.Since != "", e.ID)
	}
}

// TestAllEventsAreLogged checks that each event of the catalogue is logged somewhere in the
// code. The compiler ensures that each logged event is in the catalogue.
func TestAllEventsAreLogged(t *testing.T) {
	source, err := os.ReadFile("catalogue.go")
	assert.NilError(t, err)
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	var all strings.Builder
	for _, f := range files {
		data, err := os.ReadFile(f)
		assert.NilError(t, err)
		all.Write(data)
	}
	names := regexp.MustCompile(`(?m)^(?:\t|var )(\w+)\s+= define\(`).FindAllStringSubmatch(string(source), -1)
	assert.Equal(t, len(names), len(event.Catalogue()))
	for _, n := range names {
		assert.Assert(t, strings.Contains(all.String(), "event."+n[1]+".Log("), "%s is never logged", n[1])
	}
}
