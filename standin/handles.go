package standin

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// KVCache is a KV cache that an engine keeps until somebody takes or frees it.
type KVCache struct {
	// Request is the ID of the request that it was made for.
	Request string
	Made    time.Time
}

// BackendGroup is a set of engines that pass KV caches to each other.
type BackendGroup struct {
	mu      sync.Mutex
	handles map[string]KVCache // by "address/handle"
	aliases map[string]string  // addresses of engines by those of proxies before them
	next    int
}

// NewBackendGroup returns an empty group.
func NewBackendGroup() *BackendGroup {
	return &BackendGroup{handles: map[string]KVCache{}, aliases: map[string]string{}}
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
	for source, kv := range g.handles {
		if time.Since(kv.Made) > kvLife {
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

// HeldAt returns the KV caches of one engine that nobody has taken.
func (g *BackendGroup) HeldAt(b *Backend) []KVCache {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapse()
	var out []KVCache
	for source, kv := range g.handles {
		if strings.HasPrefix(source, b.addr+"/") {
			out = append(out, kv)
		}
	}
	return out
}

// keep notes a KV cache at an engine under a name, a new one if it is empty; a
// name that is kept already stays the same.
func (g *BackendGroup) keep(address, name, request string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == "" {
		g.next++
		name = strconv.Itoa(g.next)
	}
	g.handles[address+"/"+name] = KVCache{Request: request, Made: time.Now()}
	return name
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
