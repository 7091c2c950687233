package settings

import (
	"bytes"
	"fmt"

	"gopkg.in/yaml.v3"
)

// Set returns the text of a tree with one value replaced or added. Comments and order are kept; the
// result is not checked.
func Set(text []byte, path []string, value string) ([]byte, error) {
	var doc, val yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := yaml.Unmarshal([]byte(value), &val); err != nil {
		return nil, fmt.Errorf("settings: value: %w", err)
	}
	if len(doc.Content) == 0 || len(val.Content) == 0 {
		return nil, fmt.Errorf("settings: the tree or the value is empty")
	}
	if err := setNode(doc.Content[0], path, val.Content[0]); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(2)
	if err := enc.Encode(&doc); err != nil {
		return nil, err
	}
	return out.Bytes(), enc.Close()
}

// setNode sets the value at a path and adds the mappings that are missing on it.
func setNode(n *yaml.Node, path []string, val *yaml.Node) error {
	if n.Kind != yaml.MappingNode {
		return fmt.Errorf("settings: %s is not a mapping", path[0])
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value != path[0] {
			continue
		}
		if len(path) == 1 {
			n.Content[i+1] = val
			return nil
		}
		return setNode(n.Content[i+1], path[1:], val)
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: path[0]}
	if len(path) == 1 {
		n.Content = append(n.Content, key, val)
		return nil
	}
	child := &yaml.Node{Kind: yaml.MappingNode}
	n.Content = append(n.Content, key, child)
	return setNode(child, path[1:], val)
}
