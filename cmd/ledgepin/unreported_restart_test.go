package main_test

import (
	"cmp"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ledgepin/ledgepin/platform"
	"github.com/ledgepin/ledgepin/standin"
)

// restartUnreported ends an engine and starts it again at once under its name and address, with
// another version. The engine reports nothing until report is called.
func (v *versionedCluster) restartUnreported(id, version string) (report func()) {
	v.mu.Lock()
	old := cmp.Or(v.restarted[id], v.servers[id])
	v.servers[id] = nil // ends its heartbeats
	v.mu.Unlock()
	old.Kill()
	time.Sleep(10 * time.Millisecond)
	b, err := v.group.StartBackend(old.Addr(), id, old.Role, platform.Protocol.Headers)
	if err != nil {
		v.t.Error(err)
		return func() {}
	}
	v.t.Cleanup(b.Kill)
	generateVersion(b, version)
	born := time.Now().UnixMilli()
	b.SetBorn(born)
	v.mu.Lock()
	v.restarted[id] = b
	v.mu.Unlock()
	return func() {
		v.mu.Lock()
		v.servers[id], v.versions[id], v.born[id] = b, version, born
		v.mu.Unlock()
		v.heartbeats(id)
	}
}

// newBornCluster returns a cluster with engines of some versions that report when they were started.
func newBornCluster(t *testing.T, versions ...string) *versionedCluster {
	t.Helper()
	v := &versionedCluster{cluster: newCluster(t), engines: map[string][]string{}, restarted: map[string]*standin.Backend{}}
	born := time.Now().Add(-time.Minute).UnixMilli()
	add := func(version, role, id string) *standin.Backend {
		v.mu.Lock()
		v.born[id] = born
		v.mu.Unlock()
		b := v.addEngine(version, role, id)
		b.SetBorn(born)
		return b
	}
	for _, version := range versions {
		add(version, "prefill", "p-"+version)
		for n := range enginesPerVersion {
			add(version, "decode", fmt.Sprintf("d-%s-%d", version, n))
		}
	}
	v.putStoryTable()
	for name := range v.callers {
		v.waitReady(name, true)
		v.waitVersions(name, len(versions))
	}
	return v
}

// reportDelay is how long a restarted engine reports nothing.
const reportDelay = 1200 * time.Millisecond

// TestStreamsBegunAtRestartedEnginesAreNotMixed guards against a stream that begins at an engine which
// has just restarted with another version under its name and address and has not reported that yet:
// its record named the version before, and the stream was continued there.
func TestStreamsBegunAtRestartedEnginesAreNotMixed(t *testing.T) {
	restart := func(list []*process) {
		for _, p := range list {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range list {
			_ = p.cmd.Wait()
			p.start()
		}
	}
	for _, tt := range []struct {
		name string
		// twice has the two engines restart again, with the version before, once streams have begun.
		twice   bool
		disturb func(v *versionedCluster)
		// own has callers return to the gateway that they came from.
		own bool
	}{
		{"callers return", false, func(*versionedCluster) {}, false},
		{"callers return to their gateway", false, func(*versionedCluster) {}, true},
		{"engines restart twice", true, func(*versionedCluster) {}, false},
		{"one gateway is killed", false, func(v *versionedCluster) { restart([]*process{v.processes["gateway-0"]}) }, false},
		{"all gateways are killed", false, func(v *versionedCluster) { restart(v.processesOf("gateway")) }, false},
		{"a gateway and a replica are killed", false, func(v *versionedCluster) {
			restart([]*process{v.processes["gateway-0"], v.processesOf("control")[0]})
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := newBornCluster(t, "v1", "v2")
			restartBoth := func(version string) (reports [2]func()) {
				return [...]func(){v.restartUnreported("d-v1-0", version), v.restartUnreported("d-v1-1", version)}
			}
			reports := restartBoth("v2")
			reported := make(chan struct{})
			time.AfterFunc(reportDelay, func() {
				if tt.twice {
					reports = restartBoth("v1")
				}
				for _, report := range reports {
					report()
				}
				close(reported)
			})
			var begun sync.WaitGroup
			begun.Add(streamCallers)
			disturbed := make(chan struct{})
			go func() {
				begun.Wait()
				tt.disturb(v)
				close(disturbed)
			}()
			callers := v.run(func(n int, s *streamCaller) {
				s.attempt(gatewayOf(n), 4)
				begun.Done()
				<-disturbed
				s.finishWithin(2*reportDelay, func() string {
					if tt.own {
						return gatewayOf(n)
					}
					return anyGateway()
				})
			})
			// A stream that stays at one of the two engines is of a version that nobody knows.
			known, complete := 0, 0
			for _, s := range callers {
				if len(s.versions) > 0 && s.versions[0] == "v1" {
					known++
				}
				if len(s.versions) == streamEvents && s.versions[0] == "v1" {
					complete++
				}
			}
			t.Logf("of %d streams of v1 %d are complete", known, complete)
			assert.Check(t, complete == known, "%d of %d streams of v1 are complete", complete, known)
			v.check(callers, streamCallers*9/10)
			<-reported
		})
	}
}

// TestStreamsBegunAtFirstEnginesOfVersionAreNotMixed guards against the same while all engines have had
// one version: two are the first ones of another version, have not reported it yet, and callers return to
// other gateways, which have no record of their streams.
func TestStreamsBegunAtFirstEnginesOfVersionAreNotMixed(t *testing.T) {
	v := newBornCluster(t, "v1")
	reports := [...]func(){v.restartUnreported("d-v1-0", "v2"), v.restartUnreported("d-v1-1", "v2")}
	reported := make(chan struct{})
	time.AfterFunc(reportDelay, func() {
		for _, report := range reports {
			report()
		}
		close(reported)
	})
	v.check(v.run(func(n int, s *streamCaller) {
		s.attempt(gatewayOf(n), 4)
		s.finishWithin(2*reportDelay, func() string { return gatewayOf(n + 1) })
	}), 0)
	<-reported
}
