package wal

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/fieldlist"
)

// TestEncodedFieldsStayCompatible compares the encoded fields of what replicas store with those of
// the builds in use: no field may change or disappear, and a new one must be optional and be added
// by hand to testdata/fields.txt (CONTRIBUTING, "Changing a message or a record").
func TestEncodedFieldsStayCompatible(t *testing.T) {
	var now []string
	for _, typ := range []reflect.Type{
		reflect.TypeFor[record](),
	} {
		now = append(now, fieldlist.Of(typ)...)
	}
	then := lines(t, "testdata/fields.55b4ff8.txt")
	assert.Equal(t, strings.Join(fieldlist.Check(now, then), "\n"), "")
	assert.Equal(t, strings.Join(now, "\n"), strings.Join(lines(t, "testdata/fields.txt"), "\n"))
}

func lines(t *testing.T, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}
