// Package fieldlist lists the encoded fields of a type, so that a test can detect changes of
// a message or a record.
package fieldlist

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Of returns a line for each field of a type and of its nested types: its path, its number or
// name in the encoding, "optional" if it is omitted when empty, and its type.
func Of(t reflect.Type) []string {
	var out []string
	list(t, t.Name(), &out, nil)
	return out
}

func list(t reflect.Type, path string, out *[]string, parents []reflect.Type) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || slices.Contains(parents, t) {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if name, optional := encoded(f); name != "" {
			fieldPath := path + "." + f.Name
			*out = append(*out, fmt.Sprintf("%s %s%s %s", fieldPath, name, optional, f.Type))
			list(f.Type, fieldPath, out, append(parents, t))
		}
	}
}

// encoded returns the name of a field in the encoding, or an empty name if it isn't encoded.
func encoded(f reflect.StructField) (name, optional string) {
	if !f.IsExported() {
		return "", ""
	}
	tag, ok := f.Tag.Lookup("cbor")
	if !ok {
		tag = f.Tag.Get("json")
	}
	name, rest, _ := strings.Cut(tag, ",")
	if strings.Contains(rest, "omitempty") {
		optional = " optional"
	}
	switch name {
	case "-":
		return "", ""
	case "":
		return f.Name, optional
	}
	return name, optional
}

// Check compares the current fields with those of an older build that is still in use, and
// returns the incompatible changes: fields that were removed or changed, and new ones that
// aren't omitted when empty, which the older build would receive before it can read them.
func Check(current, old []string) []string {
	var problems []string
	for _, l := range old {
		if !slices.Contains(current, l) {
			problems = append(problems, "gone or changed: "+l)
		}
	}
	for _, l := range current {
		if !slices.Contains(old, l) && !strings.Contains(l, " optional ") {
			problems = append(problems, "new and not optional: "+l)
		}
	}
	return problems
}
