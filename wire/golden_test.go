package wire_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/wire"
)

// golden is the directory to which TestWriteGolden writes the frames of this build.
var golden = flag.String("golden", "", "write frames and the list of fields to this directory")

// listFile is the list of all fields of all messages; frameEnd is the suffix of frames.
const (
	listFile = "fields.txt"
	frameEnd = ".cbor"
)

func listText() string {
	var b strings.Builder
	for _, l := range list(messageType, "", "") {
		fmt.Fprintln(&b, strings.TrimSpace(l.String()))
	}
	return b.String()
}

// TestWriteGolden writes a frame of each kind, and a hello of each role, with each field set.
// It is run in the build whose messages are to be kept; see testdata/README.md.
func TestWriteGolden(t *testing.T) {
	if *golden == "" {
		t.Skip("writes only with -golden")
	}
	write := func(name string, data []byte) {
		assert.NilError(t, os.WriteFile(filepath.Join(*golden, name), data, 0o644))
	}
	write(listFile, []byte(listText()))
	for _, k := range kinds() {
		frame, err := wire.Marshal(filled(k, nil))
		assert.NilError(t, err)
		write(k.name+frameEnd, frame)
	}
	for _, role := range []string{wire.RoleEntry, wire.RoleAgent, wire.RoleControl, wire.RoleGateway, wire.RoleAsker, wire.RoleFounder} {
		// A literal: all builds send this version, but the name of the constant differs.
		hello := wire.Hello{Version: 3, Name: "n1", Role: role, Zone: "z1"}
		switch role {
		case wire.RoleControl:
			hello.Epoch, hello.Revision, hello.Commit = 7, 8, 9
		case wire.RoleEntry, wire.RoleAgent, wire.RoleAsker:
			hello.Epoch, hello.Revision = 7, 8
		}
		frame, err := wire.Marshal(&wire.Message{Hello: &hello})
		assert.NilError(t, err)
		write("hello-"+role+frameEnd, frame)
	}
}

// keptBuilds lists the older builds whose messages must be readable.
var keptBuilds = []string{"55b4ff8", "b2d70d5"}

// fieldsOf reads the list of fields of a build.
func fieldsOf(t testing.TB, build string) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", build, listFile))
	assert.NilError(t, err)
	out := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		path, _, _ := strings.Cut(line, " ")
		out[path] = true
	}
	return out
}

// frames reads the frames of a build.
func frames(t testing.TB, build string) map[string][]byte {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("testdata", build, "*"+frameEnd))
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	out := map[string][]byte{}
	for _, name := range names {
		out[strings.TrimSuffix(filepath.Base(name), frameEnd)], err = os.ReadFile(name)
		assert.NilError(t, err)
	}
	return out
}

// TestReadsFramesOfKeptBuilds guards against a frame of an older build that is read with a
// field missing or changed.
func TestReadsFramesOfKeptBuilds(t *testing.T) {
	for _, build := range keptBuilds {
		only, keptFrames := fieldsOf(t, build), frames(t, build)
		read := 0
		for _, k := range kinds() {
			if !only[k.key] {
				continue
			}
			frame := keptFrames[k.name]
			assert.Assert(t, frame != nil, "no frame of %s", k.name)
			got, err := wire.Unmarshal(frame, build)
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(got, filled(k, only)), "%s of %s: got %+v", k.name, build, got)
			read++
		}
		for name, frame := range keptFrames {
			if !strings.HasPrefix(name, "hello-") {
				continue
			}
			got, err := wire.Unmarshal(frame, build)
			assert.NilError(t, err)
			assert.Equal(t, got.Hello.Role, strings.TrimPrefix(name, "hello-"))
			assert.Equal(t, got.Hello.Name+got.Hello.Zone, "n1z1")
			read++
		}
		assert.Equal(t, read, len(keptFrames), "not all frames were read")
	}
}

// TestKeptBuildsCanReadOurFrames guards against a change that older builds can't read. All of
// their fields must be in this build's frames at the same numbers: the bytes are the same
// while new fields are empty, and the old values are the same while new fields are set.
func TestKeptBuildsCanReadOurFrames(t *testing.T) {
	for _, build := range keptBuilds {
		only, keptFrames := fieldsOf(t, build), frames(t, build)
		for _, k := range kinds() {
			if !only[k.key] {
				continue
			}
			frame, err := wire.Marshal(filled(k, only))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(frame, keptFrames[k.name]), "%s: a new field has to be left out while it is empty", k.name)
			frame, err = wire.Marshal(filled(k, nil))
			assert.NilError(t, err)
			var before, now any
			assert.NilError(t, cbor.Unmarshal(keptFrames[k.name], &before))
			assert.NilError(t, cbor.Unmarshal(frame, &now))
			checkContains(t, k.name, before, now)
		}
	}
}

// checkContains checks that the newer value contains all of the older one.
func checkContains(t *testing.T, path string, older, newer any) {
	t.Helper()
	switch o := older.(type) {
	case map[any]any:
		n, ok := newer.(map[any]any)
		assert.Assert(t, ok, path)
		for key, value := range o {
			checkContains(t, fmt.Sprintf("%s.%v", path, key), value, n[key])
		}
	case []any:
		n, ok := newer.([]any)
		assert.Assert(t, ok && len(n) == len(o), path)
		for i := range o {
			checkContains(t, fmt.Sprintf("%s[%d]", path, i), o[i], n[i])
		}
	default:
		assert.Assert(t, reflect.DeepEqual(older, newer), "%s: %v became %v", path, older, newer)
	}
}

// TestFieldsAreListed fails if a message gains, loses or changes a field, so that this can't
// happen by accident.
func TestFieldsAreListed(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", listFile))
	assert.NilError(t, err)
	wanted, have := lines(string(want)), lines(listText())
	for line := range wanted {
		assert.Check(t, have[line], "%q was removed or changed: older builds still send it, and its number must never be reused", line)
	}
	for line := range have {
		assert.Check(t, wanted[line], "%q is new: follow \"Changing a message or a record\" in CONTRIBUTING.md, then add the line to wire/testdata/%s", line, listFile)
	}
	paths := map[string]string{}
	for line := range wanted {
		path, rest, _ := strings.Cut(line, " ")
		assert.Check(t, paths[path] == "", "%s is both %s and %s", path, paths[path], rest)
		paths[path] = rest
	}
	for _, build := range keptBuilds {
		for path := range fieldsOf(t, build) {
			assert.Check(t, paths[path] != "", "build %s sends the unlisted field %s", build, path)
		}
	}
}

func lines(text string) map[string]bool {
	out := map[string]bool{}
	for line := range strings.Lines(text) {
		out[strings.TrimSuffix(line, "\n")] = true
	}
	return out
}

// TestHelloSizeIsBounded bounds the size of a hello relative to that of a kept build.
func TestHelloSizeIsBounded(t *testing.T) {
	for name, frame := range frames(t, keptBuilds[0]) {
		if !strings.HasPrefix(name, "hello-") {
			continue
		}
		m, err := wire.Unmarshal(frame, name)
		assert.NilError(t, err)
		m.Hello.Least, m.Hello.Most, m.Hello.Build = wire.Versions.Least, wire.Versions.Most, "v0.0.0-20261203041951-c3ef3be0123a"
		now, err := wire.Marshal(m)
		assert.NilError(t, err)
		t.Logf("%s: %d bytes, %d before", name, len(now), len(frame))
		assert.Assert(t, len(now) <= len(frame)+48, "a range takes 4 bytes, the name of a build its length and two bytes")
	}
}
