// Package pq is a priority queue that reports the index of each element, so that any
// element can be moved or removed.
package pq

import "container/heap"

// Queue orders elements by Less. Moved, if set, is called with the new index of an element
// whenever it changes; index -1 means that the element was removed.
type Queue[T any] struct {
	Less  func(a, b T) bool
	Moved func(t T, index int)
	s     slice[T]
}

// Len returns the number of elements.
func (q *Queue[T]) Len() int { return len(q.s.items) }

// First returns the first element; the queue must not be empty.
func (q *Queue[T]) First() T { return q.s.items[0] }

// Items returns the elements in heap order. The slice is the queue's own and must not be changed.
func (q *Queue[T]) Items() []T { return q.s.items }

// Push adds an element.
func (q *Queue[T]) Push(t T) { heap.Push(q.configured(), t) }

// Pop removes and returns the first element; the queue must not be empty.
func (q *Queue[T]) Pop() T { return heap.Pop(q.configured()).(T) }

// Fix restores the order after the element at index has changed.
func (q *Queue[T]) Fix(index int) { heap.Fix(q.configured(), index) }

// Remove removes the element at index.
func (q *Queue[T]) Remove(index int) { heap.Remove(q.configured(), index) }

// configured returns the heap with the current Less and Moved of the queue.
func (q *Queue[T]) configured() *slice[T] {
	q.s.less, q.s.moved = q.Less, q.Moved
	return &q.s
}

// slice implements heap.Interface.
type slice[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(t T, index int)
}

func (s *slice[T]) Len() int           { return len(s.items) }
func (s *slice[T]) Less(i, j int) bool { return s.less(s.items[i], s.items[j]) }
func (s *slice[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	s.notify(i)
	s.notify(j)
}

func (s *slice[T]) notify(index int) {
	if s.moved != nil {
		s.moved(s.items[index], index)
	}
}

// Push implements heap.Interface.
func (s *slice[T]) Push(x any) {
	s.items = append(s.items, x.(T))
	s.notify(len(s.items) - 1)
}

// Pop implements heap.Interface.
func (s *slice[T]) Pop() any {
	last := len(s.items) - 1
	t := s.items[last]
	if s.moved != nil {
		s.moved(t, -1)
	}
	var zero T
	s.items[last] = zero
	s.items = s.items[:last]
	return t
}
