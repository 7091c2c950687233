package standin

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// KVCache is a KV cache that an engine keeps until it is claimed, released or expired.
type KVCache struct {
	// Request is the ID of the request that it was computed for.
	Request string
	Created time.Time
	// Events is the last event that was generated if it is the copy of a run, and body the body of
	// the request.
	Events int
	body   string
	// target is the address of the engine that the copy was sent to, empty if that had no free
	// memory. stopped reports whether the copied run has ended, so that it may continue where it
	// was.
	target  string
	stopped bool
}

// BackendGroup is a set of engines that pass KV caches to each other.
type BackendGroup struct {
	mu      sync.Mutex
	handles map[string]KVCache // by "address/handle"
	aliases map[string]string  // addresses of engines by the addresses of their proxies
	next    int
}

// NewBackendGroup returns an empty group.
func NewBackendGroup() *BackendGroup {
	return &BackendGroup{handles: map[string]KVCache{}, aliases: map[string]string{}}
}

// Held returns the number of KV caches that no engine has claimed.
func (g *BackendGroup) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire()
	return len(g.handles)
}

// kvTTL is how long an unclaimed KV cache is kept: the gateway that requested it may have crashed.
const kvTTL = 5 * time.Second

// expire drops the expired KV caches. The caller holds g.mu.
func (g *BackendGroup) expire() {
	for source, kv := range g.handles {
		if time.Since(kv.Created) > kvTTL {
			delete(g.handles, source)
		}
	}
}

// Alias adds a second address of an engine, such as that of a proxy.
func (g *BackendGroup) Alias(address string, b *Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aliases[address] = b.addr
}

// HeldAt returns the KV caches of one engine that no engine has claimed.
func (g *BackendGroup) HeldAt(b *Backend) []KVCache {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire()
	var out []KVCache
	for source, kv := range g.handles {
		if strings.HasPrefix(source, b.addr+"/") {
			out = append(out, kv)
		}
	}
	return out
}

// store stores a KV cache at an engine under a name, and returns the name: a new one if name is
// empty. A cache that has the name already is replaced.
func (g *BackendGroup) store(address, name string, kv KVCache) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == "" {
		g.next++
		name = strconv.Itoa(g.next)
	}
	kv.Created = time.Now()
	g.handles[address+"/"+name] = kv
	return name
}

// remove removes a KV cache and returns it.
func (g *BackendGroup) remove(source string) (KVCache, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	source = g.resolve(source)
	kv, ok := g.handles[source]
	delete(g.handles, source)
	return kv, ok
}

// claim removes a KV cache and returns it to the engine at an address. The copy of a run is
// available where it was sent to, and also where the run was if that has ended.
func (g *BackendGroup) claim(address, source string) (KVCache, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	source = g.resolve(source)
	kv, ok := g.handles[source]
	if ok && isRunCopy(source) {
		from, _, _ := strings.Cut(source, "/")
		ok = address == from && kv.stopped || address == g.engineAddress(kv.target)
	}
	if ok {
		delete(g.handles, source)
	}
	return kv, ok
}

// resolve returns the name of a KV cache with the address of its engine in place of a proxy's, and
// drops the expired ones. The caller holds g.mu.
func (g *BackendGroup) resolve(source string) string {
	g.expire()
	address, handle, _ := strings.Cut(source, "/")
	return g.engineAddress(address) + "/" + handle
}

// engineAddress returns the address of the engine that is reached at address. The caller holds
// g.mu.
func (g *BackendGroup) engineAddress(address string) string {
	if engine, ok := g.aliases[address]; ok {
		return engine
	}
	return address
}
