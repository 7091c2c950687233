package policybench

import (
	"sort"
	"time"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/placement"
)

// prefillJob is a prefill at a fake engine.
type prefillJob struct {
	id        lease.ID
	req       *request
	priority  int
	seq       int
	tokens    int
	cached    int
	remaining int // tokens to compute
	computed  int // tokens computed
	started   time.Time
	removed   bool
	useful    bool
}

// decodeJob is a decode at a fake engine.
type decodeJob struct {
	id      lease.ID
	req     *request
	owner   *entry
	next    int
	removed bool
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
	r := s.b.requestByID[id.Req]
	if !s.agentUp {
		return
	}
	if !s.alive || !s.leases.Start(id) {
		s.b.toEntry(e, func() { e.failed(s.name, id, "prefill", "the attempt has no reservation, or the engine is dead") })
		return
	}
	r.ran = true
	j := &prefillJob{id: id, req: r, priority: r.class.Priority, seq: s.b.nextPrefillSeq(), tokens: r.req.Tokens + r.assembler.Next(), started: s.b.now}
	j.cached = s.lookUp(r.req.Prefixes, j.tokens)
	j.remaining = j.tokens - j.cached
	s.queue = append(s.queue, j)
	s.b.jobs = append(s.b.jobs, j)
	s.computeNext()
}

// lookUp returns the number of cached tokens of a prompt and adds its prefixes to the cache, which
// evicts the least recently used.
func (s *server) lookUp(prefixes []uint64, tokens int) int {
	const blockTokens = placement.BlockBytes / placement.BytesPerToken
	hit := 0
	for i, h := range prefixes {
		if e, ok := s.prefixCache[h]; ok {
			s.lru.MoveToFront(e)
			if hit == i {
				hit++
			}
			continue
		}
		s.prefixCache[h] = s.lru.PushFront(h)
	}
	for s.lru.Len() > cacheBlocks {
		last := s.lru.Back()
		delete(s.prefixCache, s.lru.Remove(last).(uint64))
	}
	return min(hit*blockTokens, tokens-1)
}

// computeNext computes the next chunk of the first job by priority and age.
func (s *server) computeNext() {
	if s.computing || len(s.queue) == 0 || !s.alive {
		return
	}
	sort.SliceStable(s.queue, func(i, j int) bool {
		if s.queue[i].priority != s.queue[j].priority {
			return s.queue[i].priority < s.queue[j].priority
		}
		return s.queue[i].seq < s.queue[j].seq
	})
	j := s.queue[0]
	n := min(j.remaining, chunkTokens)
	s.computing = true
	took := time.Duration(float64(n) / (s.b.mix.Rate * s.speed) * float64(time.Second))
	if j.computed == 0 {
		took += prefillOverhead
	}
	s.b.after(took, func() {
		s.computing = false
		if !j.removed {
			j.remaining -= n
			j.computed += n
			if j.remaining <= 0 {
				s.finishPrefill(j)
			}
		}
		s.computeNext()
	})
}

func (s *server) finishPrefill(j *prefillJob) {
	s.queue = s.queue[1:]
	s.kvCaches[j.id] = j
	s.b.after(kvHold, func() { delete(s.kvCaches, j.id) })
	if !s.agentUp {
		return
	}
	s.leases.Finish(j.id)
	delete(s.tokens, j.id)
	since := j.started
	if s.lastPrefillEnd.After(since) {
		since = s.lastPrefillEnd
	}
	s.lastPrefillEnd = s.b.now
	took := s.b.now.Sub(since)
	kv := engine.KV{Source: s.name, Handle: j.id.Req, Bytes: int64(j.tokens) * kvPerToken, Tokens: j.tokens, TTL: kvHold}
	e := s.owners[j.id]
	s.forgetReleased(j.id)
	if e != nil {
		s.kvLeases.Restore(s.b.now, j.id, e.name, false)
		l := s.load(e)
		s.b.toEntry(e, func() {
			e.router.View().Report(s.name, l)
			e.apply(e.router.Prefilled(s.b.now, s.name, j.id, kv, j.cached, took))
		})
	}
}

func (s *server) startDecode(e *entry, id lease.ID, kv engine.KV, from int) {
	if !s.agentUp {
		return
	}
	if !s.alive || !s.leases.Start(id) {
		s.b.toEntry(e, func() { e.failed(s.name, id, "transfer", "the attempt has no reservation, or the engine is dead") })
		return
	}
	src := s.b.servers[kv.Source]
	job := src.findKV(id.Req)
	if job == nil {
		s.reportFailure(id, "transfer", "the source has no such KV cache")
		return
	}
	t := &transfer{from: src, to: s, owner: e, remaining: float64(kv.Bytes)}
	t.done = func() {
		delete(s.incoming, id)
		s.finishImport(e, id, src, job, from)
	}
	s.incoming[id] = t
	s.b.links.start(t)
}

// findKV returns the prefill job whose KV cache a request has here, nil if there is none.
func (s *server) findKV(req string) *prefillJob {
	for id, j := range s.kvCaches {
		if id.Req == req && s.alive {
			return j
		}
	}
	return nil
}

func (s *server) finishImport(e *entry, id lease.ID, src *server, job *prefillJob, from int) {
	state, ok := s.leases.State(id)
	if !ok || state != lease.Running || !s.alive {
		return // cancelled meanwhile, or the engine died
	}
	if src.kvCaches[job.id] != job {
		s.reportFailure(id, "transfer", "the source lost the KV cache")
		return
	}
	job.useful = true
	j := &decodeJob{id: id, req: s.b.requestByID[id.Req], owner: e, next: from}
	s.running = append(s.running, j)
	if len(s.running) > s.b.mix.Slots {
		s.b.reportViolation("%s runs %d requests on %d slots", s.name, len(s.running), s.b.mix.Slots)
	}
	s.b.toEntry(e, func() { e.apply(e.router.Imported(s.b.now, s.name, id)) })
	s.decodeStep()
}

// decodeStep generates one token for each running request.
func (s *server) decodeStep() {
	if s.stepping || len(s.running) == 0 || !s.alive {
		return
	}
	s.stepping = true
	full := float64(len(s.running)) / float64(s.b.mix.Slots)
	took := time.Duration((float64(minStepTime) + full*float64(fullBatchExtraTime)) / s.speed)
	batch := append([]*decodeJob(nil), s.running...)
	s.b.after(took, func() {
		s.stepping = false
		for _, j := range batch {
			if !j.removed {
				s.sendToken(j)
			}
		}
		s.decodeStep()
	})
}

func (s *server) sendToken(j *decodeJob) {
	index := j.next
	j.next++
	end := j.next >= j.req.output
	if end {
		s.removeRequest(j.id)
		s.leases.Finish(j.id)
		s.forgetReleased(j.id)
	}
	if !s.agentUp {
		return // lost with the agent's links
	}
	s.b.toEntry(j.owner, func() { j.owner.token(j, index, end) })
}
