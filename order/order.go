// Package order holds the commands to engines: load a model, an adapter or a version, or
// change the role.
//
// Not all engines check who sends them an order, so the agent does. An order carries a
// fence: the term of the leader and a sequence number. A Gate allows an order only if its
// fence is higher than any that it has seen; after a restart it allows none until control
// has sent the current fence.
package order

import (
	"github.com/ledgepin/ledgepin/engine"
)

// Fence orders the leaders of control and their orders.
type Fence struct {
	Term uint64 `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	return f.Term < g.Term || f.Term == g.Term && f.Seq < g.Seq
}

// Order is a command for the engine of one agent.
type Order struct {
	ID     string       `cbor:"1,keyasint"`
	Server string       `cbor:"2,keyasint"`
	Fence  Fence        `cbor:"3,keyasint"`
	Do     engine.Order `cbor:"4,keyasint"`
	// Floor marks an order that carries only the fence and no command; it opens a new
	// gate.
	Floor bool `cbor:"5,keyasint,omitempty"`
}

// Result is an agent's answer to an order.
type Result struct {
	ID string `cbor:"1,keyasint"`
	OK bool   `cbor:"2,keyasint"`
	// Detail is the reason why the order was not carried out.
	Detail string `cbor:"3,keyasint,omitempty"`
	Fence  Fence  `cbor:"4,keyasint"`
}

// Gate decides which orders are allowed. The zero value allows none.
type Gate struct {
	highest Fence
	open    bool
}

// SetFloor raises the fence to f and opens the gate. It must come from a leader that
// holds a live majority lease; a lower fence changes nothing.
func (g *Gate) SetFloor(f Fence) {
	if !f.Less(g.highest) {
		g.highest = f
		g.open = true
	}
}

// Allow reports whether an order with fence f may be carried out. An allowed order raises
// the fence.
func (g *Gate) Allow(f Fence) bool {
	if !g.open || f.Less(g.highest) || f == g.highest {
		return false
	}
	g.highest = f
	return true
}

// Highest returns the highest fence seen, and whether the gate is open.
func (g *Gate) Highest() (Fence, bool) { return g.highest, g.open }
