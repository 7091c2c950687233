package agent

import "time"

// keyRegistry maps the callers' keys whose home is this agent to the newest request
// with the key, so that a retry through another entry ends the request that it replaces.
// It is best effort: it is lost when the agent restarts.
type keyRegistry struct {
	keys map[string]registration
}

type registration struct {
	req, owner string
	at         time.Time
}

const (
	maxRegistrations = 10000
	registrationTTL  = 10 * time.Minute
)

func newKeyRegistry() *keyRegistry { return &keyRegistry{keys: map[string]registration{}} }

// put registers a request. It returns the previous request with the key, and reports whether
// that was another one.
func (r *keyRegistry) put(now time.Time, key, req, owner string) (before registration, replaced bool) {
	before, ok := r.keys[key]
	r.keys[key] = registration{req, owner, now}
	r.evict(now)
	return before, ok && before.req != req
}

// evict removes the expired keys if there are too many, and all keys if that is not
// enough.
func (r *keyRegistry) evict(now time.Time) {
	if len(r.keys) <= maxRegistrations {
		return
	}
	for key, reg := range r.keys {
		if now.Sub(reg.at) > registrationTTL {
			delete(r.keys, key)
		}
	}
	if len(r.keys) > maxRegistrations {
		clear(r.keys)
	}
}
