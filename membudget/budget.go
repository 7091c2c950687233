// Package membudget bounds the memory that a process holds for the requests of callers.
//
// What a request holds counts against its own bound, that of its organisation and that of the
// process. Who lacks room waits, so that a server is read no faster than callers take what it
// sends. A part of the memory is kept for one request at a time, the one that has waited for
// longest: requests that hold a part of what they need never wait for each other for ever. While
// one waits, the request whose caller has been reading for longest is given up.
package membudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of accounts.
var (
	// ErrTooLarge tells that a request would hold more than one may.
	ErrTooLarge = errors.New("membudget: the request needs more memory than one may have")
	// ErrPreempted tells that a request was given up for one that waits.
	ErrPreempted = errors.New("membudget: the request was given up for others that wait for memory")
)

// Budget is the memory of a process. Safe for use by several goroutines.
type Budget struct {
	now func() time.Time
	// slow is how long a caller may read its answer while others wait.
	slowAfter time.Duration

	mu       sync.Mutex
	ledger   *ledger
	accounts map[*entry]*Account
	waits    int
}

// New returns an empty budget. While others wait for memory, callers may take slow to read their
// answers.
func New(l Limits, slowAfter time.Duration, now func() time.Time) *Budget {
	return &Budget{now: now, slowAfter: slowAfter, ledger: newLedger(l), accounts: map[*entry]*Account{}}
}

// Account is what one request holds. All methods of a nil Account do nothing.
type Account struct {
	budget  *Budget
	entry   entry
	preempt func()
	// granted is told once what it waited for is there.
	granted   chan struct{}
	preempted bool
}

// Open opens the account of a request. cut ends the write of its answer, from another goroutine
// and without waiting; it is not called once the account is closed.
func (b *Budget) Open(organisation string, preempt func()) *Account {
	a := &Account{budget: b, entry: entry{organisation: organisation}, preempt: preempt, granted: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[&a.entry] = a
	return a
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.total()
}

// Waits returns how often a request has had to wait since the start.
func (b *Budget) Waits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waits
}

// TryReserve takes bytes if there is room at once.
func (a *Account) TryReserve(n int64) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return !a.budget.ledger.exceedsRequestLimit(&a.entry, n) && a.budget.ledger.reserve(&a.entry, n)
}

// Reserve takes bytes, and waits until there is room.
func (a *Account) Reserve(ctx context.Context, n int64) error {
	if a == nil {
		return nil
	}
	done, err := a.reserveOrQueue(n)
	if done {
		return err
	}
	t := time.NewTicker(a.budget.slowAfter / 4)
	defer t.Stop()
	for {
		select {
		case <-a.granted:
			return nil
		case <-ctx.Done():
			return a.cancelWait(ctx.Err())
		case <-t.C:
			a.preemptSlowest()
		}
	}
}

// begin takes bytes, or begins to wait for them.
func (a *Account) reserveOrQueue(n int64) (bool, error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger.exceedsRequestLimit(&a.entry, n) {
		return true, ErrTooLarge
	}
	if b.ledger.reserve(&a.entry, n) {
		return true, nil
	}
	b.waits++
	b.notify(b.ledger.enqueue(&a.entry, n))
	return false, nil
}

// leave ends a wait, unless what it was for has come meanwhile.
func (a *Account) cancelWait(err error) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	select {
	case <-a.granted:
		return nil
	default:
	}
	a.budget.ledger.dequeue(&a.entry)
	return err
}

// makeRoom gives up a request whose caller reads slowly.
func (a *Account) preemptSlowest() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*entry, 0, len(b.accounts))
	for e := range b.accounts {
		all = append(all, e)
	}
	if e := b.ledger.slowest(&a.entry, all, b.now(), b.slowAfter); e != nil && !b.accounts[e].preempted {
		b.accounts[e].preempted = true
		b.accounts[e].preempt()
	}
}

// Release gives bytes back.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.notify(a.budget.ledger.release(&a.entry, n))
}

// StartWriting notes that the caller is given its answer from now on.
func (a *Account) StartWriting() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.entry.writingSince.IsZero() {
		a.entry.writingSince = a.budget.now()
	}
}

// Preempted returns ErrCut once the request was given up.
func (a *Account) Preempted() error {
	if a == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.preempted {
		return ErrPreempted
	}
	return nil
}

// Close gives all back.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.accounts, &a.entry)
	a.budget.notify(a.budget.ledger.close(&a.entry))
}

// tell wakes those that have got what they waited for.
func (b *Budget) notify(granted []*entry) {
	for _, e := range granted {
		b.accounts[e].granted <- struct{}{}
	}
}
