package agent

import "time"

// registry keeps, for the callers' keys whose home is this agent, which request
// has the key now. It lets a retry through another entry end the request that
// it replaces. It is a help, not a promise: it is lost with the agent.
type registry struct {
	keys map[string]registration
}

type registration struct {
	req, owner string
	at         time.Time
}

const (
	registryMany = 10000
	registryTime = 10 * time.Minute
)

func newRegistry() *registry { return &registry{keys: map[string]registration{}} }

// put enters a request and returns the one that had the key before, if it is
// another one.
func (r *registry) put(now time.Time, key, req, owner string) (before registration, replaced bool) {
	before, ok := r.keys[key]
	r.keys[key] = registration{req, owner, now}
	r.trim(now)
	return before, ok && before.req != req
}

// trim drops old keys when there are many, and all of them if that is not
// enough.
func (r *registry) trim(now time.Time) {
	if len(r.keys) <= registryMany {
		return
	}
	for key, reg := range r.keys {
		if now.Sub(reg.at) > registryTime {
			delete(r.keys, key)
		}
	}
	if len(r.keys) > registryMany {
		clear(r.keys)
	}
}
