package policybench

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
)

// prefillJob is one prefill at a fake engine.
type prefillJob struct {
	id       lease.ID
	req      *request
	priority int
	seq      int
	tokens   int
	cached   int
	left     int // tokens to compute
	done     int // tokens computed
	started  time.Time
	gone     bool
	useful   bool
}

// decodeJob is one decode at a fake engine.
type decodeJob struct {
	id    lease.ID
	req   *request
	owner *entry
	next  int
	gone  bool
}

func sortedIDs(m map[lease.ID]string) []lease.ID {
	out := make([]lease.ID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Req < out[j].Req || out[i].Req == out[j].Req && out[i].Attempt < out[j].Attempt
	})
	return out
}

func (s *server) startPrefill(e *entry, id lease.ID) {
	r := s.b.reqs[id.Req]
	if !s.agentUp {
		return
	}
	if !s.alive || !s.table.Start(id) {
		s.b.toEntry(e, func() { e.failed(s.name, id, "prefill", "no reservation, or no engine") })
		return
	}
	r.ran = true
	j := &prefillJob{id: id, req: r, priority: r.class.Priority, seq: s.b.next(), tokens: r.req.Tokens + r.asm.Next(), started: s.b.now}
	j.cached = s.lookUp(r.req.Prefixes, j.tokens)
	j.left = j.tokens - j.cached
	s.queue = append(s.queue, j)
	s.b.jobs = append(s.b.jobs, j)
	s.work()
}

// lookUp returns the cached tokens of a prompt and enters its prefixes; the
// least recently used go first.
func (s *server) lookUp(prefixes []uint64, tokens int) int {
	const blockTokens = placement.BlockBytes / placement.BytesPerToken
	hit := 0
	for i, h := range prefixes {
		if e, ok := s.cache[h]; ok {
			s.lru.MoveToFront(e)
			if hit == i {
				hit++
			}
			continue
		}
		s.cache[h] = s.lru.PushFront(h)
	}
	for s.lru.Len() > cacheSize {
		last := s.lru.Back()
		delete(s.cache, s.lru.Remove(last).(uint64))
	}
	return min(hit*blockTokens, tokens-1)
}

// work computes the next chunk of the first job by priority.
func (s *server) work() {
	if s.busy || len(s.queue) == 0 || !s.alive {
		return
	}
	sort.SliceStable(s.queue, func(i, j int) bool {
		if s.queue[i].priority != s.queue[j].priority {
			return s.queue[i].priority < s.queue[j].priority
		}
		return s.queue[i].seq < s.queue[j].seq
	})
	j := s.queue[0]
	n := min(j.left, chunkTokens)
	s.busy = true
	took := time.Duration(float64(n) / (s.b.mix.Rate * s.speed) * float64(time.Second))
	if j.done == 0 {
		took += overhead
	}
	s.b.after(took, func() {
		s.busy = false
		if !j.gone {
			j.left -= n
			j.done += n
			if j.left <= 0 {
				s.prefilled(j)
			}
		}
		s.work()
	})
}

func (s *server) prefilled(j *prefillJob) {
	s.queue = s.queue[1:]
	s.kv[j.id] = j
	s.b.after(kvHold, func() { delete(s.kv, j.id) })
	if !s.agentUp {
		return
	}
	s.table.Finish(j.id)
	delete(s.tokens, j.id)
	since := j.started
	if s.lastEnd.After(since) {
		since = s.lastEnd
	}
	s.lastEnd = s.b.now
	took := s.b.now.Sub(since)
	kv := engine.KV{Source: s.name, Handle: j.id.Req, Bytes: int64(j.tokens) * kvPerToken, Tokens: j.tokens, TTL: kvHold}
	e := s.owners[j.id]
	s.forget(j.id)
	if e != nil {
		s.kvs.Restore(s.b.now, j.id, e.name, false)
		l := s.load(e)
		s.b.toEntry(e, func() {
			e.core.View().Report(s.name, l)
			e.do(e.core.Prefilled(s.b.now, s.name, j.id, kv, j.cached, took))
		})
	}
}

func (s *server) startDecode(e *entry, id lease.ID, kv engine.KV, from int) {
	if !s.agentUp {
		return
	}
	if !s.alive || !s.table.Start(id) {
		s.b.toEntry(e, func() { e.failed(s.name, id, "transfer", "no reservation, or no engine") })
		return
	}
	src := s.b.servers[kv.Source]
	job := src.findKV(id.Req)
	if job == nil {
		s.fail(id, "transfer", "the source has no such KV cache")
		return
	}
	t := &transfer{from: src, to: s, owner: e, left: float64(kv.Bytes)}
	t.done = func() {
		delete(s.incoming, id)
		s.imported(e, id, src, job, from)
	}
	s.incoming[id] = t
	s.b.links.start(t)
}

// findKV returns the KV cache of a request.
func (s *server) findKV(req string) *prefillJob {
	for id, j := range s.kv {
		if id.Req == req && s.alive {
			return j
		}
	}
	return nil
}

func (s *server) imported(e *entry, id lease.ID, src *server, job *prefillJob, from int) {
	state, ok := s.table.State(id)
	if !ok || state != lease.Running || !s.alive {
		return // cancelled meanwhile, or the transfer hangs
	}
	if src.kv[job.id] != job {
		s.fail(id, "transfer", "the source lost the KV cache")
		return
	}
	job.useful = true
	j := &decodeJob{id: id, req: s.b.reqs[id.Req], owner: e, next: from}
	s.running = append(s.running, j)
	if len(s.running) > s.b.mix.Slots {
		s.b.broken("%s runs %d requests on %d slots", s.name, len(s.running), s.b.mix.Slots)
	}
	s.b.toEntry(e, func() { e.do(e.core.Imported(s.b.now, s.name, id)) })
	s.step()
}

// step makes one token for each running request.
func (s *server) step() {
	if s.stepping || len(s.running) == 0 || !s.alive {
		return
	}
	s.stepping = true
	full := float64(len(s.running)) / float64(s.b.mix.Slots)
	took := time.Duration((float64(tokenBase) + full*float64(tokenSlope)) / s.speed)
	batch := append([]*decodeJob(nil), s.running...)
	s.b.after(took, func() {
		s.stepping = false
		for _, j := range batch {
			if !j.gone {
				s.token(j)
			}
		}
		s.step()
	})
}

func (s *server) token(j *decodeJob) {
	index := j.next
	j.next++
	end := j.next >= j.req.output
	if end {
		s.dropWork(j.id)
		s.table.Finish(j.id)
		s.forget(j.id)
	}
	if !s.agentUp {
		return // lost with the link
	}
	s.b.toEntry(j.owner, func() { j.owner.token(j, index, end) })
}
