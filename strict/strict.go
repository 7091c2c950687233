// Package strict decodes YAML and refuses keys and values that the target type doesn't allow.
//
// The YAML library reports unknown keys without their path and can't check ranges. Operators need
// the file, the line, the path and what was expected, so this package compares the node tree with
// the Go type before it decodes.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Problem is one error in a YAML file.
type Problem struct {
	// File is the name passed to Decode.
	File string
	// Line starts at 1; zero if the problem has no line.
	Line int
	// Path is the dotted path of the value.
	Path string
	// Want describes what was expected.
	Want string
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Want)
}

// Problems is a list of problems; it is an error if it is not empty.
type Problems []Problem

// Error returns all problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

const maxProblems = 50

// Decode reads one YAML document from data into out, a pointer to a struct. A field tag
// `check:"min=1,max=9,oneof=a|b,required"` restricts a value. The returned error is of type
// Problems.
func Decode(file string, data []byte, out any) error {
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return Problems{{File: file, Line: 1, Path: ".", Want: "a YAML mapping, but the file is empty"}}
		}
		return Problems{{File: file, Line: yamlLine(err), Path: ".", Want: "well-formed YAML: " + err.Error()}}
	}
	w := walker{file: file}
	root := doc.Content[0]
	w.value(root, reflect.TypeOf(out).Elem(), "", "")
	if len(w.problems) > 0 {
		return w.problems
	}
	if err := root.Decode(out); err != nil {
		return Problems{{File: file, Line: yamlLine(err), Path: ".", Want: err.Error()}}
	}
	return nil
}

// yamlLine returns the line number in an error of the YAML library, or 1 if it has none.
func yamlLine(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 1
	}
	num, _, _ := strings.Cut(rest, ":")
	n, _ := strconv.Atoi(num)
	return n
}

type walker struct {
	file     string
	problems Problems
}

func (w *walker) report(n *yaml.Node, path, format string, args ...any) {
	if len(w.problems) >= maxProblems {
		return
	}
	if path == "" {
		path = "."
	}
	w.problems = append(w.problems, Problem{File: w.file, Line: n.Line, Path: path, Want: fmt.Sprintf(format, args...)})
}

var unmarshaler = reflect.TypeFor[yaml.Unmarshaler]()

func (w *walker) value(n *yaml.Node, t reflect.Type, path, check string) {
	if n.Kind == yaml.AliasNode {
		w.report(n, path, "want a plain value; aliases are not allowed")
		return
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		w.custom(n, t, path, check)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.structure(n, t, path)
	case reflect.Map:
		w.mapping(n, t, path)
	case reflect.Slice:
		w.sequence(n, t, path)
	default:
		w.scalar(n, t, path, check)
	}
}

// custom checks a type that decodes itself; min and max apply to its integer value.
func (w *walker) custom(n *yaml.Node, t reflect.Type, path, check string) {
	v := reflect.New(t)
	if err := v.Interface().(yaml.Unmarshaler).UnmarshalYAML(n); err != nil {
		w.report(n, path, "%v", err)
		return
	}
	if t.Kind() == reflect.Int64 {
		w.checkBounds(n, path, check, float64(v.Elem().Int()))
	}
}

func (w *walker) structure(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.MappingNode {
		w.report(n, path, "want a mapping")
		return
	}
	fields := fieldsOf(t)
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		f, ok := fields[key.Value]
		at := join(path, key.Value)
		switch {
		case !ok:
			w.report(key, at, "unknown key; want one of %s", keyList(t))
		case seen[key.Value]:
			w.report(key, at, "the key is given twice")
		default:
			w.value(val, f.Type, at, f.Tag.Get("check"))
		}
		seen[key.Value] = true
	}
	for name, f := range fields {
		if strings.Contains(f.Tag.Get("check"), "required") && !seen[name] {
			w.report(n, join(path, name), "the key is required")
		}
	}
}

func (w *walker) mapping(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.MappingNode {
		w.report(n, path, "want a mapping of names")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		at := join(path, key.Value)
		if !validName(key.Value) {
			w.report(key, at, "want a name of letters, digits, '.', '_', '-' or '/', at most %d long", maxNameLength)
		}
		if seen[key.Value] {
			w.report(key, at, "the name is given twice")
		}
		seen[key.Value] = true
		w.value(val, t.Elem(), at, "")
	}
}

func (w *walker) sequence(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.SequenceNode {
		w.report(n, path, "want a list")
		return
	}
	for i, item := range n.Content {
		w.value(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i), "")
	}
}

func (w *walker) scalar(n *yaml.Node, t reflect.Type, path, check string) {
	if n.Kind != yaml.ScalarNode {
		w.report(n, path, "want a single %s", t.Kind())
		return
	}
	v := reflect.New(t)
	if err := n.Decode(v.Interface()); err != nil || n.Tag == "!!null" {
		w.report(n, path, "want a value of type %s", t.Kind())
		return
	}
	switch v := v.Elem(); v.Kind() {
	case reflect.Int, reflect.Int64:
		w.checkBounds(n, path, check, float64(v.Int()))
	case reflect.Float64:
		w.checkBounds(n, path, check, v.Float())
	case reflect.String:
		w.checkOneOf(n, path, check, v.String())
	}
}

func (w *walker) checkBounds(n *yaml.Node, path, check string, got float64) {
	for _, rule := range strings.Split(check, ",") {
		name, arg, _ := strings.Cut(rule, "=")
		limit, err := strconv.ParseFloat(arg, 64)
		if err != nil {
			continue
		}
		if (name == "min" && got < limit) || (name == "max" && got > limit) {
			w.report(n, path, "want a value with %s", strings.ReplaceAll(check, ",", " and "))
			return
		}
	}
}

func (w *walker) checkOneOf(n *yaml.Node, path, check, got string) {
	for _, rule := range strings.Split(check, ",") {
		list, ok := strings.CutPrefix(rule, "oneof=")
		if !ok {
			continue
		}
		for _, want := range strings.Split(list, "|") {
			if got == want {
				return
			}
		}
		w.report(n, path, "want one of %s", list)
	}
}

const maxNameLength = 100

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-/", r)
		if !ok {
			return false
		}
	}
	return true
}

// fieldsOf returns the fields of a struct type by YAML key, including inline ones.
func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	out := map[string]reflect.StructField{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, opts, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if strings.Contains(opts, "inline") {
			for k, v := range fieldsOf(f.Type) {
				out[k] = v
			}
			continue
		}
		if name != "" && name != "-" {
			out[name] = f
		}
	}
	return out
}

// keyList lists the YAML keys of a struct type in the order of its fields.
func keyList(t reflect.Type) string {
	var out []string
	for i := range t.NumField() {
		name, opts, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if strings.Contains(opts, "inline") {
			out = append(out, keyList(t.Field(i).Type))
		} else if name != "" && name != "-" {
			out = append(out, name)
		}
	}
	return strings.Join(out, ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
