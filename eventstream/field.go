package eventstream

import "bytes"

// interpret reads the fields of a complete block.
func interpret(raw []byte) Block {
	block := Block{Kind: NoData, Raw: raw}
	for at := 0; at < len(raw); {
		end := at + lineLength(raw[at:])
		block.field(raw[at:end])
		at = end + 1
	}
	return block
}

// field records the field of one line. The LF of a CR LF yields an empty line, which has
// no field.
func (b *Block) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch string(name) {
	case "data":
		b.Kind = Event
	case "id":
		if bytes.IndexByte(value, 0) >= 0 {
			return
		}
		b.HasID, b.ID = true, bytes.TrimPrefix(value, []byte{' '})
	}
}
