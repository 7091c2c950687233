package placement

// holderIndex remembers which server was last seen to hold a prefix, so that
// a holder is found without looking at each server.
type holderIndex struct {
	recent map[uint64]*Server
	older  map[uint64]*Server
}

// maxHolders bounds one generation of the index.
const maxHolders = 65536

func newHolderIndex() *holderIndex {
	return &holderIndex{recent: map[uint64]*Server{}, older: map[uint64]*Server{}}
}

// set notes a holder. When the young generation is full, it becomes the old
// one and the old one is forgotten.
func (x *holderIndex) set(h uint64, s *Server) {
	if len(x.recent) >= maxHolders {
		x.recent, x.older = map[uint64]*Server{}, x.recent
	}
	x.recent[h] = s
}

// find returns the last server seen with the longest of the prefixes.
func (x *holderIndex) find(hashes []uint64) *Server {
	for i := len(hashes) - 1; i >= 0; i-- {
		if s := x.recent[hashes[i]]; s != nil {
			return s
		}
		if s := x.older[hashes[i]]; s != nil {
			return s
		}
	}
	return nil
}
