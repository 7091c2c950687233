package fleet

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/fieldlist"
)

// TestEncodedFieldsStayCompatible compares the fields of commands and snapshots with those of
// released builds, which read them during an upgrade: no field may be changed or removed, and
// a new one must be optional and in testdata/fields.txt, which is edited by hand (CONTRIBUTING,
// "Changing a message or a record").
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
