package config

import (
	"log/slog"
	"os"
	"time"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/logqueue"
	"github.com/ledgepin/ledgepin/metric"
)

// Logger returns the logger that the file configures. Logging never blocks; flush writes the
// queued lines when the process ends.
func (l Log) Logger() (log *slog.Logger, flush func()) {
	var level slog.Level
	if l.Level != "" {
		_ = level.UnmarshalText([]byte(l.Level))
	}
	o := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, o)), func() {}
	}
	q := logqueue.New(os.Stdout, logqueue.DefaultBytes, func(lines int) {
		metric.DroppedLogLines.WithLabelValues().Add(float64(lines))
		event.LogDropped.Log(log, "lines", lines)
	})
	log = slog.New(slog.NewJSONHandler(q, o))
	return log, func() { q.Close(flushTimeout) }
}

// flushTimeout bounds the time for which the end of a process waits for its log.
const flushTimeout = 300 * time.Millisecond
