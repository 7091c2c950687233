package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func partDigests(ids ...string) []Digest {
	var out []Digest
	for _, id := range ids {
		out = append(out, PartDigest("s", id))
	}
	return SortedParts(out)
}

// history builds a table from the endings of servers.
type history struct {
	table   *Table
	now     time.Time
	content int
	server  int
}

func newHistory() *history { return &history{table: NewTable(), now: start} }

// after advances the time.
func (h *history) after(d time.Duration) *history {
	h.now = h.now.Add(d)
	h.table.Sweep(h.now)
	return h
}

// ends ends one more server, under runs with these parts that had begun 100 ms before.
func (h *history) ends(prompts ...[]string) {
	h.after(time.Second)
	h.server++
	for _, parts := range prompts {
		h.content++
		h.table.Merge(h.now, []Record{{
			Content: digest(h.content), Parts: partDigests(parts...),
			Endings: []Ending{{Server: fmt.Sprint("s", h.server), Ran: 100 * time.Millisecond}},
		}})
	}
}

func (h *history) goesOn(parts ...string) { h.table.RecordSurvival(h.now, partDigests(parts...)) }

func (h *history) blocked(parts ...string) bool {
	return len(h.table.BlocksOf(partDigests(parts...))) > 0
}

func prompt(parts ...string) []string { return parts }

// TestBlockedParts runs sequences of endings and survivals, and guards against blocking a part too
// late, or sound prompts that have other parts of the poisonous one.
func TestBlockedParts(t *testing.T) {
	for _, c := range []struct {
		name    string
		play    func(h *history)
		blocked [][]string
		sound   [][]string
	}{
		{
			name:  "two endings",
			play:  func(h *history) { h.ends(prompt("f", "p")); h.ends(prompt("f", "p")) },
			sound: [][]string{{"f", "p"}, {"f"}},
		},
		{
			name: "a part with several others",
			play: func(h *history) {
				h.ends(prompt("f", "m1", "p"))
				h.ends(prompt("f", "m2", "p"))
				h.ends(prompt("g", "m1", "p"))
			},
			blocked: [][]string{{"p"}, {"f", "m1", "p"}, {"x", "p"}},
			sound:   [][]string{{"f", "m1"}, {"g", "m1"}, {"f", "m2"}},
		},
		{
			name: "two parts that always come together",
			play: func(h *history) {
				for range 3 {
					h.ends(prompt("f", "p"))
				}
			},
			blocked: [][]string{{"f", "p"}, {"f", "p", "x"}},
			sound:   [][]string{{"f"}, {"f", "x"}},
		},
		{
			name: "one of two that came together turns out to be alone",
			play: func(h *history) {
				for range 3 {
					h.ends(prompt("f", "p"))
				}
				h.ends(prompt("g", "p"))
			},
			blocked: [][]string{{"f", "p"}, {"h", "p"}},
			sound:   [][]string{{"f"}, {"g"}},
		},
		{
			name: "a first part that all prompts share, and whose other runs go on",
			play: func(h *history) {
				for n := range 4 {
					h.ends(prompt("f", "p"), prompt("f", fmt.Sprint("m", n)))
					h.goesOn("f", "other")
				}
			},
			blocked: [][]string{{"f", "p"}},
			sound:   [][]string{{"f"}, {"f", "m0"}, {"f", "m1"}},
		},
		{
			name: "a first part that all prompts share, and whose other runs end with the servers",
			play: func(h *history) {
				for n := range 5 {
					h.ends(prompt("f", "p"), prompt("f", fmt.Sprint("m", n)))
				}
				h.ends(prompt("f", "m1")) // of another cause
			},
			blocked: [][]string{{"f", "p"}, {"f", "x", "p"}},
			sound:   [][]string{{"f"}, {"f", "m0"}, {"f", "m1"}},
		},
		{
			name: "a rare bystander that ends with three of the servers",
			play: func(h *history) {
				for n := range 6 {
					if n%2 == 0 {
						h.ends(prompt("f", "p"), prompt("f", "rare"))
					} else {
						h.ends(prompt("f", "p"))
					}
				}
			},
			blocked: [][]string{{"f", "p"}},
			sound:   [][]string{{"f", "rare"}, {"rare"}, {"f"}},
		},
		{
			name: "two poisonous parts with one first part",
			play: func(h *history) {
				for range 4 {
					h.ends(prompt("f", "p"))
					h.ends(prompt("f", "q"))
				}
			},
			blocked: [][]string{{"f", "p"}, {"f", "q"}},
			sound:   [][]string{{"f"}, {"f", "m"}},
		},
		{
			name: "a part that never comes without two others, which other runs have too",
			play: func(h *history) {
				for n := range 4 {
					h.ends(prompt("f", "g", "p"), prompt("f", "g", fmt.Sprint("m", n)), prompt("f"))
				}
				h.ends(prompt("f", "g", "m8")) // of other causes
				h.ends(prompt("f", "m9"))
			},
			blocked: [][]string{{"f", "g", "p"}},
			sound:   [][]string{{"f", "g"}, {"f", "g", "m1"}, {"f", "m9"}},
		},
		{
			name: "a poisonous first part with few others",
			play: func(h *history) {
				for n := range 5 {
					h.ends(prompt("p", fmt.Sprint("m", n%2)))
				}
			},
			blocked: [][]string{{"p"}, {"p", "m0"}, {"p", "m7"}},
			sound:   [][]string{{"m0"}, {"m1"}, {"f", "m0"}},
		},
		{
			name: "two parts whose runs often end with the same servers",
			play: func(h *history) {
				for range 3 {
					h.ends(prompt("f", "p"), prompt("g", "q"))
				}
				for range 2 {
					h.ends(prompt("f", "p"))
					h.ends(prompt("g", "q"))
				}
			},
			blocked: [][]string{{"f", "p"}, {"g", "q"}},
			sound:   [][]string{{"f"}, {"g"}},
		},
		{
			name: "a run goes on after the third ending",
			play: func(h *history) {
				for range 3 {
					h.ends(prompt("f", "p"))
				}
				h.goesOn("f", "p")
			},
			sound: [][]string{{"f", "p"}, {"f"}},
		},
		{
			name: "three endings after a run went on",
			play: func(h *history) {
				h.ends(prompt("p"))
				h.ends(prompt("p"))
				h.goesOn("p")
				for range 3 {
					h.ends(prompt("p"))
				}
			},
			blocked: [][]string{{"p"}},
		},
		{
			name: "endings have expired",
			play: func(h *history) {
				h.ends(prompt("p"))
				h.ends(prompt("p"))
				h.after(endingTTL)
				h.ends(prompt("p"))
			},
			sound: [][]string{{"p"}},
		},
		{
			name: "a rack loses power",
			play: func(h *history) {
				var list []Record
				for n := range 10 {
					list = append(list, Record{Content: digest(n), Parts: partDigests("f"), Endings: []Ending{{Server: fmt.Sprint("s", n), Age: time.Duration(n) * 10 * time.Millisecond, Ran: 200 * time.Millisecond}}})
				}
				h.table.Merge(h.now, list)
			},
			sound: [][]string{{"f"}},
		},
		{
			name: "runs whose answers were under way",
			play: func(h *history) {
				for n := range 5 {
					h.table.Merge(h.after(time.Second).now, []Record{{Content: digest(n), Parts: partDigests("f"), Endings: []Ending{{Server: fmt.Sprint("s", n), Underway: true}}}})
				}
			},
			sound: [][]string{{"f"}},
		},
	} {
		h := newHistory()
		c.play(h)
		for _, parts := range c.blocked {
			assert.Check(t, h.blocked(parts...), "%s: %v is not blocked", c.name, parts)
		}
		for _, parts := range c.sound {
			assert.Check(t, !h.blocked(parts...), "%s: %v is blocked by %v", c.name, parts, h.table.BlocksOf(partDigests(parts...)))
		}
	}
}

// TestBystandersOfBlockedPartAreNotBlocked guards against a content that stays blocked although the
// servers that ended under it ended because of a part that it doesn't have.
func TestBystandersOfBlockedPartAreNotBlocked(t *testing.T) {
	h := newHistory()
	bystander, own := digest(1000), digest(1001)
	for n := range 4 {
		h.ends(prompt("p"))
		h.table.RecordEnding(h.now, bystander, fmt.Sprint("s", n+1), h.now, 700*time.Millisecond)
	}
	assert.Equal(t, h.table.BlockedFor(h.now, bystander), time.Duration(0))
	for n := range 3 {
		h.after(time.Second)
		h.table.RecordEnding(h.now, own, fmt.Sprint("x", n), h.now, 100*time.Millisecond)
	}
	assert.Assert(t, h.table.BlockedFor(h.now, own) > 0, "a content with endings of its own")
}

// TestTrialDelays guards against trials that come too often, or never.
func TestTrialDelays(t *testing.T) {
	h := newHistory()
	for range 2 {
		h.ends(prompt("p"))
	}
	for _, want := range []time.Duration{15 * time.Second, time.Minute, 4 * time.Minute, 10 * time.Minute, 10 * time.Minute} {
		h.ends(prompt("p"))
		list := h.table.Blocks()
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Until.Sub(h.now), want)
	}
}

// TestTablesAgreeOnParts guards against tables that differ after exchanging what they know in any
// order, twice, or only in part.
func TestTablesAgreeOnParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		cursor := map[[2]int]uint64{}
		now := start
		send := func(from, to int) {
			before := cursor[[2]int{from, to}]
			survivals := tables[from].SurvivalsSince(now, before, false)
			list, at := tables[from].Since(now, before, 1)
			cursor[[2]int{from, to}] = at
			for range rapid.IntRange(1, 2).Draw(rt, "times") {
				tables[to].MergeSurvivals(now, survivals)
				tables[to].Merge(now, list)
			}
		}
		subset := func() []Digest {
			ids := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string]).Draw(rt, "parts")
			return partDigests(ids...)
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(rt, "table")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				tables[i].Merge(now, []Record{{
					Content: digest(rapid.IntRange(1, 6).Draw(rt, "content")), Parts: subset(),
					Endings: []Ending{{
						Server: fmt.Sprint("s", rapid.IntRange(1, 8).Draw(rt, "server")), Ran: time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ran")) * time.Millisecond,
						Underway: rapid.IntRange(0, 4).Draw(rt, "underway") == 0,
					}},
				}})
			case 2:
				send(i, rapid.IntRange(0, 2).Draw(rt, "to"))
			case 3:
				tables[i].RecordSurvival(now, subset())
			}
		}
		for range 3 {
			for i := range tables {
				for j := range tables {
					send(i, j)
				}
			}
		}
		for i, table := range tables[1:] {
			assert.DeepEqual(rt, table.Blocks(), tables[0].Blocks())
			_ = i
		}
		for i := range tables {
			for j := range tables {
				if list, _ := tables[i].Since(now, cursor[[2]int{i, j}], 1); len(list) > 0 && i != j {
					send(i, j)
				}
			}
		}
		list, _ := tables[0].Since(now, cursor[[2]int{0, 1}], 1)
		assert.Equal(rt, len(list)+len(tables[0].SurvivalsSince(now, cursor[[2]int{0, 1}], false)), 0, "tables that agree exchange nothing")
	})
}

// TestPartsAreBounded guards against a table without bound where prompts have many parts, and against
// dropping a blocked part for them.
func TestPartsAreBounded(t *testing.T) {
	h := newHistory()
	for range 3 {
		h.ends(prompt("p"))
	}
	for n := range 1000 {
		var list []Digest
		for i := range 200 {
			list = append(list, PartDigest("s", fmt.Sprint(n, "-", i)))
		}
		h.table.Merge(h.now, []Record{{Content: digest(10_000 + n), Parts: list, Endings: []Ending{{Server: "x"}}}})
		assert.Assert(t, h.table.partCount <= maxParts)
	}
	assert.Assert(t, len(h.table.parts) <= maxParts)
	h.after(endingTTL)
	assert.Equal(t, len(h.table.parts), 0)
	assert.Equal(t, h.table.partCount, 0)
	assert.Assert(t, !h.table.HasRelevantParts())
}

// storm is a simulated service in which one part ends the servers that begin to generate on it, or in
// which servers end of other causes. Each gateway learns what the others know after a delay.
type storm struct {
	rng      *rand.Rand
	now      time.Time
	tables   []*Table
	cursors  map[[2]int]uint64
	servers  []*stormServer
	content  int
	sequence int

	crashes             int
	refused, sent       int
	poisonSent, blocked int
}

type stormServer struct {
	id        string
	downUntil time.Time
	runs      []*stormRun
}

type stormRun struct {
	table         int
	content       Digest
	parts         []Digest
	began, endsAt time.Time
	poisonous     bool
}

// Times of a storm.
const (
	stormTick   = 10 * time.Millisecond
	stormSpread = 250 * time.Millisecond
	stormFirst  = 40 * time.Millisecond
	stormCrash  = 100 * time.Millisecond
	stormDown   = 2 * time.Second
)

func newStorm(seed uint64, gateways, servers int) *storm {
	s := &storm{rng: rand.New(rand.NewPCG(seed, 1)), now: start, cursors: map[[2]int]uint64{}}
	for range gateways {
		s.tables = append(s.tables, NewTable())
	}
	for range servers {
		s.sequence++
		s.servers = append(s.servers, &stormServer{id: fmt.Sprint("s", s.sequence)})
	}
	return s
}

// send sends a prompt through any gateway, and reports whether it was refused for its parts.
func (s *storm) send(poisonous bool, ids ...string) bool {
	g, parts := s.rng.IntN(len(s.tables)), partDigests(ids...)
	if len(s.tables[g].BlocksOf(parts)) > 0 {
		return true
	}
	var up []*stormServer
	for _, srv := range s.servers {
		if !s.now.Before(srv.downUntil) {
			up = append(up, srv)
		}
	}
	if len(up) == 0 {
		return false
	}
	s.content++
	srv := up[s.rng.IntN(len(up))]
	srv.runs = append(srv.runs, &stormRun{table: g, content: digest(s.content), parts: parts, began: s.now, endsAt: s.now.Add(time.Duration(500+s.rng.IntN(3500)) * time.Millisecond), poisonous: poisonous})
	return false
}

func (s *storm) crash(srv *stormServer) {
	s.crashes++
	for _, r := range srv.runs {
		x := Ending{Server: srv.id, Ran: s.now.Sub(r.began), Underway: s.now.Sub(r.began) >= stormFirst+100*time.Millisecond}
		record := Record{Content: r.content, Endings: []Ending{x}}
		if !x.Underway {
			record.Parts = r.parts
		}
		s.tables[r.table].Merge(s.now, []Record{record})
	}
	s.sequence++
	srv.id, srv.runs, srv.downUntil = fmt.Sprint("s", s.sequence), nil, s.now.Add(stormDown)
}

// tick lets a tick pass: runs begin, go on and end, and gateways exchange what they know.
func (s *storm) tick() {
	s.now = s.now.Add(stormTick)
	for _, srv := range s.servers {
		if slices.ContainsFunc(srv.runs, func(r *stormRun) bool { return r.poisonous && s.now.Sub(r.began) >= stormCrash }) {
			s.crash(srv)
			continue
		}
		for _, r := range srv.runs {
			if age := s.now.Sub(r.began); age >= stormFirst+300*time.Millisecond && age%(250*time.Millisecond) < stormTick || !s.now.Before(r.endsAt) {
				s.tables[r.table].RecordSurvival(s.now, r.parts)
			}
		}
		srv.runs = slices.DeleteFunc(srv.runs, func(r *stormRun) bool { return !s.now.Before(r.endsAt) })
	}
	if s.now.Sub(start)%stormSpread >= stormTick {
		return
	}
	for i := range s.tables {
		for j := range s.tables {
			if i == j {
				continue
			}
			survivals := s.tables[i].SurvivalsSince(s.now, s.cursors[[2]int{i, j}], false)
			list, at := s.tables[i].Since(s.now, s.cursors[[2]int{i, j}], 1)
			s.cursors[[2]int{i, j}] = at
			s.tables[j].MergeSurvivals(s.now, survivals)
			s.tables[j].Merge(s.now, list)
		}
	}
}

// play plays some time with sound and poisonous requests at their rates a second. It counts those of
// the sound ones that were refused for their parts from counted on.
func (s *storm) play(d, counted time.Duration, soundRate, poisonRate float64, sound, poisonous func(n int) []string) {
	begin := s.now
	for n := 0; s.now.Sub(begin) < d; n++ {
		s.tick()
		if s.rng.Float64() < soundRate*stormTick.Seconds() {
			refused := s.send(false, sound(n)...)
			if s.now.Sub(begin) >= counted {
				s.sent++
				if refused {
					s.refused++
				}
			}
		}
		if s.rng.Float64() < poisonRate*stormTick.Seconds() {
			s.poisonSent++
			if s.send(true, poisonous(n)...) {
				s.blocked++
			}
		}
	}
}

// TestStorms plays random storms, and guards against a poisonous part that goes on to end servers and
// against sound prompts that are refused.
func TestStorms(t *testing.T) {
	const seeds = 40
	middle := func(n int) string { return fmt.Sprint("m", n%7) }
	for _, c := range []struct {
		name             string
		sound, poisonous func(n int) []string
		soundRate        float64
		// mostCrashes bounds the crashes in each storm, refused the share of sound requests that are
		// refused in all.
		mostCrashes int
		refused     float64
	}{
		{"a first part for all", func(n int) []string { return prompt("f", middle(n)) }, func(n int) []string { return prompt("f", middle(n/3), "p") }, 14, 10, 0.01},
		{"few sound requests", func(n int) []string { return prompt("f", middle(n)) }, func(n int) []string { return prompt("f", middle(n/3), "p") }, 1, 12, 0.05},
		{"a first part of its own", func(n int) []string { return prompt("f", middle(n)) }, func(int) []string { return prompt("own", "p") }, 14, 10, 0.01},
		{"no other part", func(n int) []string { return prompt("f", middle(n)) }, func(int) []string { return prompt("p") }, 14, 10, 0.01},
		{"many first parts", func(n int) []string { return prompt(fmt.Sprint("f", n%20), middle(n)) }, func(n int) []string { return prompt(fmt.Sprint("f", n%20), "p", middle(n/3)) }, 14, 12, 0.01},
	} {
		worst, refused, sent := 0, 0, 0
		for seed := range uint64(seeds) {
			s := newStorm(seed, 3, 8)
			s.play(12*time.Second, 6*time.Second, c.soundRate, 4, c.sound, c.poisonous)
			worst, refused, sent = max(worst, s.crashes), refused+s.refused, sent+s.sent
		}
		t.Logf("%s: at most %d servers ended, %d of %d sound requests were refused", c.name, worst, refused, sent)
		assert.Check(t, worst <= c.mostCrashes, "%s: %d servers ended", c.name, worst)
		assert.Check(t, float64(refused) <= c.refused*float64(sent), "%s: %d of %d sound requests were refused", c.name, refused, sent)
	}
}

// TestCrashesOfOtherCausesBlockNoParts plays servers that crash in turn, at rates of requests down to
// a route that is hardly used.
func TestCrashesOfOtherCausesBlockNoParts(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 14} {
		refused, sent := 0, 0
		for seed := range uint64(40) {
			s := newStorm(seed, 3, 8)
			crashAt := s.now.Add(time.Second)
			s.play(30*time.Second, 0, rate, 0, func(n int) []string {
				if !s.now.Before(crashAt) {
					s.crash(s.servers[s.rng.IntN(len(s.servers))])
					crashAt = s.now.Add(time.Duration(200+s.rng.IntN(600)) * time.Millisecond)
				}
				return prompt("f", fmt.Sprint("m", n%7))
			}, nil)
			refused, sent = refused+s.refused, sent+s.sent
		}
		t.Logf("%.1f requests a second: %d of %d were refused", rate, refused, sent)
		assert.Check(t, float64(refused) <= 0.01*float64(sent))
	}
}

// BenchmarkBlocksOf measures the cost per request while a part is blocked and some thousand contents
// are known.
func BenchmarkBlocksOf(b *testing.B) {
	h := newHistory()
	for range 3 {
		h.ends(prompt("p"))
	}
	for n := range 5000 {
		h.table.Merge(h.now, []Record{{Content: digest(100 + n), Parts: partDigests("f", fmt.Sprint("m", n)), Endings: []Ending{{Server: "x"}}}})
	}
	parts := partDigests("f", "m1", "m2", "m3")
	b.ReportAllocs()
	for b.Loop() {
		h.table.BlocksOf(parts)
	}
}

// TestFlappingServersBlockNoPart ends two servers in turn under runs with a part that all prompts
// share: the part was blocked as if it had ended three servers, and with it all requests.
func TestFlappingServersBlockNoPart(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers []string // by name, in the order in which they end
		blocked bool
	}{
		{"two servers in turn", []string{"a", "b", "a", "b"}, false},
		{"one server", []string{"a", "a", "a", "a"}, false},
		{"three servers", []string{"a", "b", "c"}, true},
		{"the only two servers, for too long", []string{"a", "b", "a", "b", "a"}, true},
		{"servers whose names are not told", []string{"", "", ""}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, now := NewTable(), start
			shared := Digest{9}
			for n, name := range c.servers {
				now = now.Add(800 * time.Millisecond)
				table.Merge(now, []Record{{
					Content: Digest{1, byte(n)}, Parts: []Digest{shared},
					Endings: []Ending{{Server: fmt.Sprint("incarnation-", n), Name: name, Ran: 60 * time.Millisecond}},
				}})
			}
			blocked := slices.ContainsFunc(table.Blocks(), func(b Block) bool { return b.Part == shared })
			assert.Equal(t, blocked, c.blocked)
		})
	}
}
