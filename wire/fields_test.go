package wire_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"
	"strings"

	"github.com/ledgepin/ledgepin/wire"
)

// fieldInfo describes the encoding of one field of a struct.
type fieldInfo struct {
	index     []int
	key, name string
	rest      string // the tag's options after the key
	kind      reflect.Type
}

// structFields lists the encoded fields of a struct, including those of embedded structs.
func structFields(t reflect.Type) []fieldInfo {
	var out []fieldInfo
	for i := range t.NumField() {
		f := t.Field(i)
		tag, tagged := f.Tag.Lookup("cbor")
		if f.Anonymous && !tagged {
			for _, m := range structFields(f.Type) {
				m.index = append([]int{i}, m.index...)
				out = append(out, m)
			}
			continue
		}
		if !f.IsExported() || tag == "-" {
			continue
		}
		key, rest, _ := strings.Cut(tag, ",")
		if json, _, _ := strings.Cut(f.Tag.Get("json"), ","); key == "" {
			key = cmp.Or(json, f.Name) // as the codec does
		}
		out = append(out, fieldInfo{index: []int{i}, key: key, name: f.Name, rest: rest, kind: f.Type})
	}
	return out
}

// listedField is one line of a list of fields.
type listedField struct{ path, name, kind string }

func (l listedField) String() string { return l.path + " " + l.name + " " + l.kind }

// list lists all fields below a type with the path of their numbers.
func list(t reflect.Type, path, name string) []listedField {
	switch t.Kind() {
	case reflect.Pointer:
		return list(t.Elem(), path, name)
	case reflect.Slice, reflect.Map:
		return list(t.Elem(), path+"[]", name+"[]")
	case reflect.Struct:
		var out []listedField
		for _, m := range structFields(t) {
			p, n := strings.TrimPrefix(path+"."+m.key, "."), strings.TrimPrefix(name+"."+m.name, ".")
			out = append(out, listedField{p, n, fmt.Sprintf("%s %s", shape(m.kind), m.rest)})
			out = append(out, list(m.kind, p, n)...)
		}
		return out
	default:
		return nil
	}
}

// shape returns the encoded form of a type, so that a type may be renamed.
func shape(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return shape(t.Elem())
	case reflect.Slice, reflect.Array:
		if t.Elem().Kind() == reflect.Uint8 {
			return "bytes"
		}
		return "[]" + shape(t.Elem())
	case reflect.Map:
		return fmt.Sprintf("map[%s]%s", shape(t.Key()), shape(t.Elem()))
	case reflect.Struct:
		return "map"
	default:
		return t.Kind().String()
	}
}

// fill sets each field below v to a value that depends only on its path, so that adding a
// field changes no other. Unless only is nil, fields whose path is not in only stay empty.
func fill(v reflect.Value, path string, only map[string]bool) {
	h := crc32.ChecksumIEEE([]byte(path))
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path, only)
	case reflect.Struct:
		for _, m := range structFields(v.Type()) {
			p := strings.TrimPrefix(path+"."+m.key, ".")
			if only == nil || only[withoutIndices(p)] {
				fill(v.FieldByIndex(m.index), p, only)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(binary.BigEndian.AppendUint32(nil, h))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i), only)
		}
	case reflect.Array:
		for i := range v.Len() {
			v.Index(i).SetUint(uint64(byte(h >> (i % 4 * 8))))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for i := range 2 {
			e := reflect.New(v.Type().Elem()).Elem()
			fill(e, fmt.Sprintf("%s[%d]", path, i), only)
			v.SetMapIndex(reflect.ValueOf(fmt.Sprintf("key%d", i)).Convert(v.Type().Key()), e)
		}
	case reflect.String:
		v.SetString(fmt.Sprintf("s%08x", h))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(h%1000) + 0.5)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1 + int64(h%100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1 + uint64(h%100))
	default:
		panic("no value for " + v.Type().String())
	}
}

// withoutIndices removes the indices of elements from a path.
func withoutIndices(path string) string {
	return strings.NewReplacer("[0]", "[]", "[1]", "[]").Replace(path)
}

var messageType = reflect.TypeFor[wire.Message]()

// kinds lists the kinds of messages.
func kinds() []fieldInfo { return structFields(messageType) }

// filled returns a message of one kind with all of its fields that are in only set.
func filled(kind fieldInfo, only map[string]bool) *wire.Message {
	m := &wire.Message{}
	fill(reflect.ValueOf(m).Elem().FieldByIndex(kind.index), kind.key, only)
	return m
}
