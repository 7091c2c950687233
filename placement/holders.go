package placement

// holderIndex maps a prefix hash to the server that was last reported to hold
// it, so that a holder is found without a search of all servers. It consists of
// two generations to bound its size.
type holderIndex struct {
	recent map[uint64]*Server
	older  map[uint64]*Server
}

// maxHolders is the maximum size of one generation.
const maxHolders = 65536

func newHolderIndex() *holderIndex {
	return &holderIndex{recent: map[uint64]*Server{}, older: map[uint64]*Server{}}
}

// set records a holder. When the recent generation is full, it replaces the older
// one.
func (x *holderIndex) set(h uint64, s *Server) {
	if len(x.recent) >= maxHolders {
		x.recent, x.older = map[uint64]*Server{}, x.recent
	}
	x.recent[h] = s
}

// find returns the holder of the longest known prefix, or nil.
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
