// Package strictcbor decodes what replicas keep and agree on: all of it or nothing. A part that is
// passed over would make replicas differ.
package strictcbor

import "github.com/fxamacker/cbor/v2"

var mode = func() cbor.DecMode {
	m, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Unmarshal reads data into v, and returns an error if data has a field that v has not.
func Unmarshal(data []byte, v any) error { return mode.Unmarshal(data, v) }
