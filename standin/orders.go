package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Where an engine tells its state and takes orders, in the form of the users'
// platform.
const (
	reportPath = "/-/report"
	orderPath  = "/-/order"
)

// Order is an order that an engine has taken.
type Order struct {
	Role   string
	Holder string
	Fence  uint64
	At     time.Time
}

// Orders returns the orders that came so far, also those that were refused.
func (b *Backend) Orders() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Order(nil), b.orders...)
}

// CurrentRole returns the role that an engine has now.
func (b *Backend) CurrentRole() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Role
}

// serveControl answers what control asks an engine; it returns false for any
// other request.
func (b *Backend) serveControl(w http.ResponseWriter, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case reportPath:
		b.mu.Lock()
		defer b.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": b.Role, "busy": false, "sequence": b.orderCount})
	case orderPath:
		b.applyOrder(w, body)
	case KeptPath, platformKeptPath:
		b.serveKept(w)
	default:
		if !isCopy(r.URL.Path) {
			return false
		}
		b.serveCopy(w, r, body)
	}
	return true
}

// takeOrder changes the role of an engine at once, unless the order's fence or
// sequence is old.
func (b *Backend) applyOrder(w http.ResponseWriter, body []byte) {
	var in struct {
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		FencingToken uint64 `json:"fencingToken"`
		Expected     uint64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, Order{Role: in.Stage, Holder: in.Holder, Fence: in.FencingToken, At: time.Now()})
	switch {
	case in.FencingToken < b.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case in.Expected != b.orderCount:
		w.WriteHeader(http.StatusConflict)
	default:
		b.fence, b.Role = in.FencingToken, in.Stage
		b.orderCount++
		w.WriteHeader(http.StatusAccepted)
	}
}
