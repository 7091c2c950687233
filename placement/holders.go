package placement

// holderIndex remembers which server was last seen to hold a prefix, so that
// a holder is found without looking at each server.
type holderIndex struct {
	set1 map[uint64]*Server
	set2 map[uint64]*Server
}

// maxHolders bounds one generation of the index.
const maxHolders = 65536

func newHolderIndex() *holderIndex {
	return &holderIndex{set1: map[uint64]*Server{}, set2: map[uint64]*Server{}}
}

// set notes a holder. When the young generation is full, it becomes the old
// one and the old one is forgotten.
func (x *holderIndex) set(h uint64, s *Server) {
	if len(x.set1) >= maxHolders {
		x.set1, x.set2 = map[uint64]*Server{}, x.set1
	}
	x.set1[h] = s
}

// find returns the last server seen with the longest of the prefixes.
func (x *holderIndex) find(hashes []uint64) *Server {
	for i := len(hashes) - 1; i >= 0; i-- {
		if s := x.set1[hashes[i]]; s != nil {
			return s
		}
		if s := x.set2[hashes[i]]; s != nil {
			return s
		}
	}
	return nil
}
