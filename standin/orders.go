package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// reportPath and orderPath are where an engine reports its state and receives orders, in the
	// protocol of the users' platform.
	reportPath = "/-/report"
	orderPath  = "/-/order"
)

// Order is an order that an engine has received.
type Order struct {
	Role   string
	Holder string
	Fence  uint64
	At     time.Time
}

// Orders returns all orders received so far, including refused ones.
func (b *Backend) Orders() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Order(nil), b.orders...)
}

// CurrentRole returns the engine's current role.
func (b *Backend) CurrentRole() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Role
}

// serveControl answers calls about the engine itself. It returns false for any other request.
func (b *Backend) serveControl(w http.ResponseWriter, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case reportPath:
		b.mu.Lock()
		defer b.mu.Unlock()
		report := map[string]any{"stage": b.Role, "busy": false, "sequence": b.orderCount}
		if b.born != 0 {
			report["born"] = b.born
		}
		_ = json.NewEncoder(w).Encode(report)
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

// applyOrder changes the engine's role immediately, unless the order's fencing token or expected
// sequence number is outdated.
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
