package fieldlist_test

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/internal/fieldlist"
)

type inner struct {
	A int `json:"a"`
}

type outer struct {
	N          int      `cbor:"1,keyasint"`
	In         []*inner `cbor:"2,keyasint,omitempty"`
	Skip       int      `cbor:"-"`
	unexported int
}

func TestOf(t *testing.T) {
	assert.Equal(t, outer{}.unexported, 0)
	assert.DeepEqual(t, fieldlist.Of(reflect.TypeFor[outer]()), []string{
		"outer.N 1 int", "outer.In 2 optional []*fieldlist_test.inner", "outer.In.A a int",
	})
}

func TestCheck(t *testing.T) {
	old := []string{"m.A 1 int", "m.B 2 optional int"}
	for _, c := range []struct {
		name    string
		current []string
		want    []string
	}{
		{"the same", old, nil},
		{"a new optional field", append([]string{"m.C 3 optional int"}, old...), nil},
		{"a new field", append([]string{"m.C 3 int"}, old...), []string{"new and not optional: m.C 3 int"}},
		{"gone", old[1:], []string{"gone or changed: m.A 1 int"}},
		{"another number", []string{old[0], "m.B 3 optional int"}, []string{"gone or changed: m.B 2 optional int"}},
		{"another type", []string{old[0], "m.B 2 optional string"}, []string{"gone or changed: m.B 2 optional int"}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, fieldlist.Check(c.current, old), c.want) })
	}
}
