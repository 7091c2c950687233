package strict

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Duration is a time.Duration that is written like "330ms" in YAML.
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalYAML reads a duration with its unit.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode {
		return errors.New(`want a duration with its unit, like "330ms"`)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return d.D().String(), nil }

// String returns the duration with its unit.
func (d Duration) String() string { return d.D().String() }

// Bytes is a number of bytes, or of bytes a second, written like "2GB" in YAML.
type Bytes int64

var byteUnits = []struct {
	suffix string
	size   int64
}{{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// UnmarshalYAML reads a number with its unit.
func (b *Bytes) UnmarshalYAML(n *yaml.Node) error {
	for _, u := range byteUnits {
		num, ok := strings.CutSuffix(n.Value, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(num), 10, 64)
		if err != nil || v < 0 || v > (1<<62)/u.size {
			break
		}
		*b = Bytes(v * u.size)
		return nil
	}
	return errors.New(`want a whole count with its unit, like "2GB"`)
}

// MarshalYAML writes the number with the largest unit of which it is a multiple.
func (b Bytes) MarshalYAML() (any, error) { return b.String(), nil }

// String returns the number with the largest unit of which it is a multiple.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if int64(b) >= u.size && int64(b)%u.size == 0 {
			return fmt.Sprintf("%d%s", int64(b)/u.size, u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}
