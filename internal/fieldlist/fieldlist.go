// Package fieldlist lists the encoded fields of a type, so that a test can tell when a
// message or a record changes.
package fieldlist

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Of returns a line for each field of a type and of the types in it: its path, its number or
// name in the encoding, "optional" if it is left out when empty, and its type.
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

// encoded returns the name of a field in the encoding; empty if it is not encoded.
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

// Check returns what is problems with the fields of current beside those that a build in use has: a
// field that is gone or has changed, and a new one that isn't left out when empty, which that
// build would meet before it may.
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
