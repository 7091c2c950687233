package settings

import (
	"fmt"
	"sort"

	"gopkg.in/yaml.v3"
)

// Edit is one value that differs between two trees.
type Edit struct {
	// Path is the dotted path of the value.
	Path string
	// Before and After are the values as YAML text; empty if absent.
	Before, After string
}

// String returns the edit as one line.
func (e Edit) String() string {
	switch {
	case e.Before == "":
		return fmt.Sprintf("+ %s: %s", e.Path, e.After)
	case e.After == "":
		return fmt.Sprintf("- %s: %s", e.Path, e.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", e.Path, e.Before, e.After)
}

// Diff lists the values that differ, ordered by path.
func Diff(before, after *Tree) ([]Edit, error) {
	a, err := flatten(before)
	if err != nil {
		return nil, err
	}
	b, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var out []Edit
	for path, was := range a {
		if now := b[path]; now != was {
			out = append(out, Edit{path, was, now})
		}
	}
	for path, now := range b {
		if _, ok := a[path]; !ok {
			out = append(out, Edit{path, "", now})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out, nil
}

// flatten maps the path of each scalar of a tree to its text.
func flatten(t *Tree) (map[string]string, error) {
	out := map[string]string{}
	if t == nil {
		return out, nil
	}
	var n yaml.Node
	if err := n.Encode(t); err != nil {
		return nil, err
	}
	flattenNode(&n, "", out)
	return out, nil
}

func flattenNode(n *yaml.Node, path string, out map[string]string) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i].Value
			if path != "" {
				key = path + "." + key
			}
			flattenNode(n.Content[i+1], key, out)
		}
	case yaml.SequenceNode:
		for i, item := range n.Content {
			flattenNode(item, fmt.Sprintf("%s[%d]", path, i), out)
		}
	default:
		out[path] = n.Value
	}
}
