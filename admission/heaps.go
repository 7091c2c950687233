package admission

// byVirtual orders customers by the work that each has had for its share.
type byVirtual []*customer

func (h byVirtual) Len() int { return len(h) }
func (h byVirtual) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].name < h[j].name
}
func (h byVirtual) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

// Push implements heap.Interface.
func (h *byVirtual) Push(x any) {
	c := x.(*customer)
	c.pos = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *byVirtual) Pop() any {
	old := *h
	c := old[len(old)-1]
	c.pos = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}

// byDeadline orders items by their deadline.
type byDeadline []*Item

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h.before(i, j) }
func (h byDeadline) before(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].ID < h[j].ID
}
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	it := x.(*Item)
	it.pos = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

// bySize orders items by their work, the largest first. It does not use the
// positions of the items, which belong to the deadline heap.
type bySize []*Item

func (h bySize) Len() int           { return len(h) }
func (h bySize) Less(i, j int) bool { return h[i].Work > h[j].Work }
func (h bySize) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *bySize) Push(x any) { *h = append(*h, x.(*Item)) }

// Pop implements heap.Interface.
func (h *bySize) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
