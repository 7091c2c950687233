package standin

import (
	"strings"
	"sync"
	"time"
)

// BackendGroup is a set of engines that pass KV caches to each other.
type BackendGroup struct {
	mu      sync.Mutex
	handles map[string]time.Time // when each was made, by "address/handle"
	aliases map[string]string    // addresses of engines by those of proxies before them
	next    int
}

// NewBackendGroup returns an empty group.
func NewBackendGroup() *BackendGroup {
	return &BackendGroup{handles: map[string]time.Time{}, aliases: map[string]string{}}
}

// Held returns the number of KV caches that nobody has taken.
func (g *BackendGroup) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapse()
	return len(g.handles)
}

// kvLife is how long a KV cache is kept that nobody takes or frees, as the
// gateway that had it made may have died.
const kvLife = 5 * time.Second

// lapse drops the KV caches whose time is over. Callers hold the lock.
func (g *BackendGroup) lapse() {
	for source, made := range g.handles {
		if time.Since(made) > kvLife {
			delete(g.handles, source)
		}
	}
}

// Alias tells that an engine is also reached at another address.
func (g *BackendGroup) Alias(address string, b *Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aliases[address] = b.addr
}

// HeldAt returns the number of KV caches of one engine that nobody has taken.
func (g *BackendGroup) HeldAt(b *Backend) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapse()
	n := 0
	for source := range g.handles {
		if strings.HasPrefix(source, b.addr+"/") {
			n++
		}
	}
	return n
}

func (g *BackendGroup) take(source string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapse()
	address, handle, _ := strings.Cut(source, "/")
	if behind, ok := g.aliases[address]; ok {
		source = behind + "/" + handle
	}
	_, ok := g.handles[source]
	delete(g.handles, source)
	return ok
}
