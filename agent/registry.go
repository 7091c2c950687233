package agent

import "time"

// registry keeps, for the callers' keys whose home is this agent, which request
// has the key now. It lets a retry through another entry end the request that
// it replaces. It is a help, not a promise: it is lost with the agent.
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

// put enters a request and returns the one that had the key before, if it is
// another one.
func (r *keyRegistry) put(now time.Time, key, req, owner string) (before registration, replaced bool) {
	before, ok := r.keys[key]
	r.keys[key] = registration{req, owner, now}
	r.evict(now)
	return before, ok && before.req != req
}

// trim drops old keys when there are many, and all of them if that is not
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
