package fleet

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/fieldlist"
)

// TestFields holds the fields of what replicas keep and send against those of the builds in
// use: none of them changes or goes, and a new one is optional and stands in the list, which
// is changed by hand (CONTRIBUTING, "Changing a message or a record").
func TestEncodedFieldsStayCompatible(t *testing.T) {
	var current []string
	for _, typ := range []reflect.Type{
		reflect.TypeFor[Change](), reflect.TypeFor[snapshot](),
	} {
		current = append(current, fieldlist.Of(typ)...)
	}
	released := readLines(t, "testdata/fields.55b4ff8.txt")
	assert.Equal(t, strings.Join(fieldlist.Check(current, released), "\n"), "")
	assert.Equal(t, strings.Join(current, "\n"), strings.Join(readLines(t, "testdata/fields.txt"), "\n"))
}

func readLines(t *testing.T, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}
