package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ledgepin/ledgepin/vmlist"
)

// Service is a stand-in plain service: licence checkouts, which must not be repeated, and a rate
// sheet, which may be.
type Service struct {
	addr string
	srv  *http.Server
	wg   sync.WaitGroup

	mu    sync.Mutex
	seats map[string]int // checkouts by seat
	delay time.Duration
	calls int
}

// StartService serves a service at addr.
func StartService(addr string) (*Service, error) {
	s := &Service{seats: map[string]int{}}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin: start service: %w", err)
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /checkout", s.checkout)
	mux.HandleFunc("GET /rates", s.rates)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.wg.Go(func() { _ = s.srv.Serve(ln) })
	return s, nil
}

// Addr returns the service's IP address and port.
func (s *Service) Addr() string { return s.addr }

// Kill ends the service immediately.
func (s *Service) Kill() {
	_ = s.srv.Close()
	s.wg.Wait()
}

// SetDelay delays the answer to each call.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Checkouts returns how often a seat was checked out.
func (s *Service) Checkouts(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seats[body]
}

type checkout struct {
	Seat  string `json:"seat"`
	Order int    `json:"order"`
}

func (s *Service) checkout(w http.ResponseWriter, r *http.Request) {
	var in checkout
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.seats[in.Seat]++
	s.calls++
	in.Order = s.calls
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	reply(w, in)
}

func (s *Service) rates(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	reply(w, map[string]string{"EUR/CZK": "24.41", "EUR/HUF": "389.70"})
}

// Platform is a stand-in for the platform's list of VMs. A change appears in it after the lag.
type Platform struct {
	addr string
	srv  *http.Server
	wg   sync.WaitGroup
	lag  time.Duration

	mu           sync.Mutex
	leavingSince map[string]time.Time // leaving VMs, by name
	names        []string
}

// StartPlatform serves a list of VMs at addr.
func StartPlatform(addr string, names []string, lag time.Duration) (*Platform, error) {
	p := &Platform{lag: lag, leavingSince: map[string]time.Time{}, names: names}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin: start platform: %w", err)
	}
	p.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+vmlist.Path, p.list)
	p.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	p.wg.Go(func() { _ = p.srv.Serve(ln) })
	return p, nil
}

// Addr returns the platform's IP address and port.
func (p *Platform) Addr() string { return p.addr }

// Kill ends the platform immediately.
func (p *Platform) Kill() {
	_ = p.srv.Close()
	p.wg.Wait()
}

// SetLeaving marks a VM as leaving or as live.
func (p *Platform) SetLeaving(name string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leaving {
		p.leavingSince[name] = time.Now()
	} else {
		delete(p.leavingSince, name)
	}
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]vmlist.VM, 0, len(p.names))
	for _, n := range p.names {
		vm := vmlist.VM{Name: n, Address: "127.0.0.1", State: vmlist.Live}
		if at, ok := p.leavingSince[n]; ok && time.Since(at) >= p.lag {
			vm.State = vmlist.Leaving
		}
		out = append(out, vm)
	}
	reply(w, out)
}
