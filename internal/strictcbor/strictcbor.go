// Package strictcbor decodes replicated data and refuses unknown fields, since replicas that
// skip a field would diverge from those that apply it.
package strictcbor

import "github.com/fxamacker/cbor/v2"

var mode = func() cbor.DecMode {
	m, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Unmarshal decodes data into v. It returns an error if data has a field that v doesn't have.
func Unmarshal(data []byte, v any) error { return mode.Unmarshal(data, v) }
