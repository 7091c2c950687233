// Package membudget bounds the memory that a process holds for the requests of callers.
//
// The memory of a request counts against a limit of its own, of its organisation and of the
// process. A request that finds no free memory waits, so that a server is read no faster than
// callers read what it sends. A reserve is kept for one request at a time, the one that has waited
// longest: otherwise requests that hold a part of what they need could wait for each other for
// ever. While one waits, the request whose caller has been reading longest is preempted.
package membudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of accounts.
var (
	// ErrTooLarge reports that a request would hold more than the limit of one request.
	ErrTooLarge = errors.New("membudget: request exceeds the memory limit of one request")
	// ErrPreempted reports that a request was preempted for one that waits.
	ErrPreempted = errors.New("membudget: request was preempted for others that wait for memory")
)

// Budget is the memory of a process. It is safe for concurrent use.
type Budget struct {
	now func() time.Time
	// slowAfter is how long a caller may read its answer while other requests wait.
	slowAfter time.Duration

	mu       sync.Mutex
	ledger   *ledger
	accounts map[*entry]*Account
	waits    int
}

// New returns an empty budget. While requests wait for memory, callers may take slowAfter to read
// their answers.
func New(l Limits, slowAfter time.Duration, now func() time.Time) *Budget {
	return &Budget{now: now, slowAfter: slowAfter, ledger: newLedger(l), accounts: map[*entry]*Account{}}
}

// Account holds the memory of one request. All methods of a nil Account do nothing.
type Account struct {
	budget  *Budget
	entry   entry
	preempt func()
	// granted receives a value once the memory that the request waits for is reserved.
	granted   chan struct{}
	preempted bool
}

// Open opens the account of a request. preempt must end the write of its answer without blocking;
// it is called from another goroutine, and not after the account is closed.
func (b *Budget) Open(organisation string, preempt func()) *Account {
	a := &Account{budget: b, entry: entry{organisation: organisation}, preempt: preempt, granted: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[&a.entry] = a
	return a
}

// Held returns the number of bytes held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.total()
}

// Waits returns how often a request had to wait since the start.
func (b *Budget) Waits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waits
}

// TryReserve reserves n bytes if they are free, and reports whether it did.
func (a *Account) TryReserve(n int64) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return !a.budget.ledger.exceedsRequestLimit(&a.entry, n) && a.budget.ledger.reserve(&a.entry, n)
}

// Reserve reserves n bytes, waiting until they are free.
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

// reserveOrQueue reserves n bytes or enqueues the request. It reports whether Reserve is done, with
// its error.
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

// cancelWait ends a wait with err, or without an error if the memory has been granted in the
// meantime.
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

// preemptSlowest preempts a request whose caller reads slowly.
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

// Release releases n bytes.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.notify(a.budget.ledger.release(&a.entry, n))
}

// StartWriting records that the answer is being written to the caller from now on.
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

// Preempted returns ErrPreempted once the request was preempted.
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

// Close releases everything that the request holds.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.accounts, &a.entry)
	a.budget.notify(a.budget.ledger.close(&a.entry))
}

// notify wakes the requests that were granted memory.
func (b *Budget) notify(granted []*entry) {
	for _, e := range granted {
		b.accounts[e].granted <- struct{}{}
	}
}
