package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Summary counts the events of one or several runs.
type Summary struct {
	Length                                               time.Duration
	Steps, Requests, Served, Refused, Failed             int
	Disconnected, Tables, Reads, Probes, Drains, Arrived int
	Processes                                            int
	// Reconnects counts the attempts of callers that reconnected with a last event, Migrations the
	// runs that continued at another engine.
	Reconnects, Migrations int
	// MaxHeldBytes is the maximum number of bytes that a gateway held for callers.
	MaxHeldBytes int64
	// MaxResidentBytes is the largest memory of a gateway's process.
	MaxResidentBytes int64
	// Pairs counts the pairs of requests of different urgency, UrgentInTime and BackgroundInTime
	// their requests that were answered in time.
	Pairs, UrgentInTime, BackgroundInTime int
	// Troubles counts injected disturbances at servers by name.
	Troubles map[string]int
}

// Summarize counts the events of a history.
func Summarize(h *History) Summary {
	s := Summary{
		Length: h.Length, Steps: len(h.Plan), Requests: len(h.Requests), Tables: len(h.Puts), Reads: len(h.Reads),
		Probes: len(h.Probes), Drains: len(h.Drains), Arrived: len(h.Arrivals), Processes: h.Shape.Processes(), Troubles: maps.Clone(h.Troubles),
	}
	for _, a := range h.Arrivals {
		if a.Continues {
			s.Migrations++
		}
	}
	for _, peak := range h.MostResident {
		s.MaxResidentBytes = max(s.MaxResidentBytes, peak)
	}
	for _, held := range h.MostHeld {
		s.MaxHeldBytes = max(s.MaxHeldBytes, held)
	}
	for _, q := range h.Requests {
		switch {
		case q.Kind == Urgent && q.inTime():
			s.UrgentInTime++
		case q.Kind == Background && q.inTime():
			s.BackgroundInTime++
		}
		if q.Kind == Background {
			s.Pairs++
		}
		if q.LastID != "" {
			s.Reconnects++
		}
		switch {
		case q.LeftAt > 0:
			s.Disconnected++
		case q.Status == http.StatusOK && !q.Cut:
			s.Served++
		case q.Status == http.StatusServiceUnavailable, q.Status == http.StatusTooManyRequests, q.Status == http.StatusUnauthorized:
			s.Refused++
		default:
			s.Failed++
		}
	}
	return s
}

// Add adds the counts of another run.
func (s *Summary) Add(o Summary) {
	s.Length += o.Length
	s.Steps += o.Steps
	s.Requests += o.Requests
	s.Served += o.Served
	s.Refused += o.Refused
	s.Failed += o.Failed
	s.Disconnected += o.Disconnected
	s.Tables += o.Tables
	s.Reads += o.Reads
	s.Probes += o.Probes
	s.Drains += o.Drains
	s.Arrived += o.Arrived
	s.Reconnects += o.Reconnects
	s.Migrations += o.Migrations
	s.Pairs += o.Pairs
	s.UrgentInTime += o.UrgentInTime
	s.BackgroundInTime += o.BackgroundInTime
	for what, n := range o.Troubles {
		if s.Troubles == nil {
			s.Troubles = map[string]int{}
		}
		s.Troubles[what] += n
	}
	s.MaxHeldBytes = max(s.MaxHeldBytes, o.MaxHeldBytes)
	s.MaxResidentBytes = max(s.MaxResidentBytes, o.MaxResidentBytes)
	s.Processes = max(s.Processes, o.Processes)
}

// String returns the counts as text.
func (s Summary) String() string {
	return fmt.Sprintf("%s, %d processes, %d steps, %d requests (%d served, %d refused, %d failed, %d left, %d came back), %d arrivals, %d of them moves, %d tables, %d reads, %d probes, %d drains, of %d pairs %d urgent and %d background in time, %.1f MB held, %.0f MB of memory, %v",
		s.Length, s.Processes, s.Steps, s.Requests, s.Served, s.Refused, s.Failed, s.Disconnected, s.Reconnects, s.Arrived, s.Migrations, s.Tables, s.Reads, s.Probes, s.Drains, s.Pairs, s.UrgentInTime, s.BackgroundInTime, float64(s.MaxHeldBytes)/1e6, float64(s.MaxResidentBytes)/1e6, s.Troubles)
}

// SaveRun saves the logs of a run, its history and the violations in a folder.
func SaveRun(folder, dir string, h *History, violations []Violation) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return err
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	for _, log := range logs {
		data, err := os.ReadFile(log)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, filepath.Base(log)), data, 0o600); err != nil {
			return err
		}
	}
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "history.json"), data, 0o600); err != nil {
		return err
	}
	var text strings.Builder
	for _, v := range violations {
		fmt.Fprintln(&text, v)
	}
	return os.WriteFile(filepath.Join(folder, "broken.txt"), []byte(text.String()), 0o600)
}
