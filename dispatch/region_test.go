package dispatch_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ledgepin/ledgepin/dispatch"
	"github.com/ledgepin/ledgepin/registry"
)

// TestRequestsStayInAllowedRegions makes each kind of choice for requests that are restricted
// to regions, in a fleet where servers fill up, leave and come back in another zone. No
// prefill engine, decode engine, migration target or plain server may be in another region,
// nor in a zone without a known region; a request that may not be served anywhere finds no
// server.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	regions := map[string]string{"z0": "north", "z1": "south"}
	rapid.Check(t, func(r *rapid.T) {
		f := fleet(2, 2)
		f.SetRegions(regions)
		f.Update(now, []registry.Server{{ID: "lost", Service: "plain", Zone: "z9", State: registry.Ready, Address: "lost:1", Sequence: 1}})
		w := small
		w.Regions = rapid.SampledFrom([][]string{{"north"}, {"south"}, {"south", "west"}, {"west"}, {"north", "south"}}).Draw(r, "regions")
		allowed := func(s *dispatch.Server) {
			for _, region := range w.Regions {
				if regions[s.Zone] == region {
					return
				}
			}
			r.Fatalf("%s of zone %s", s.ID, s.Zone)
		}
		possible := regions["z0"] == w.Regions[0] || w.Regions[0] == "south"
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0:
				if p, ok := f.ChoosePair(now, w, engine, nil); ok {
					allowed(p.PrefillServer())
					allowed(p.Decode)
					f.Reserve(p.Decode.ID, w)
				}
			case 1:
				if s := f.ChooseDecode(now, w, engine, "z0", nil); s != nil {
					allowed(s)
				}
			case 2:
				if s := f.MigrationTarget(now, "d0-0", w, engine, 0.5); s != nil {
					allowed(s)
				}
			case 3:
				p := dispatch.Work{Service: "plain", Regions: w.Regions}
				s := f.ChoosePlain(now, p, nil)
				assert.Equal(r, s != nil, possible)
				if s != nil {
					allowed(s)
				}
			case 4:
				f.Reserve("d0-1", small)
			case 5: // the server's address is in another zone now
				zone := rapid.SampledFrom([]string{"z0", "z1", "z9"}).Draw(r, "zone")
				f.Update(now, []registry.Server{{ID: "p0-0", Service: "llm", Zone: zone, Role: registry.Prefill, State: registry.Ready, Address: "p0-0:1", Sequence: 9}})
			}
		}
	})
}
