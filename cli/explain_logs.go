package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// logLine is one line of a process's log about a request.
type logLine struct {
	time   time.Time
	file   int
	number int
	fields map[string]any
}

// maxLogLine bounds one line of a log file.
const maxLogLine = 1 << 20

// explainLogs tells the story of a request from log files: the lines with its
// ID, in the order of their times, and of their place where times are equal.
func explainLogs(out io.Writer, id string, files []string) error {
	var found []logLine
	for n, name := range files {
		lines, err := readLogLines(name, n, id)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return fmt.Errorf("no line about %s in %d files", id, len(files))
	}
	slices.SortStableFunc(found, func(a, b logLine) int {
		if a.file == b.file {
			return a.number - b.number // the time of day may have jumped
		}
		return a.time.Compare(b.time)
	})
	for _, l := range found {
		if _, err := fmt.Fprintln(out, l.text()); err != nil {
			return err
		}
	}
	return nil
}

// readLogLines returns the lines of a file that are about a request. Lines that are
// no JSON are passed over.
func readLogLines(name string, file int, id string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []logLine
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLine)
	for number := 0; sc.Scan(); number++ {
		start := strings.IndexByte(sc.Text(), '{')
		if start < 0 || !strings.Contains(sc.Text(), id) {
			continue
		}
		l := logLine{file: file, number: number, fields: map[string]any{}}
		if json.Unmarshal(sc.Bytes()[start:], &l.fields) != nil || l.fields["id"] != id {
			continue
		}
		timestamp, _ := l.fields["time"].(string)
		l.time, _ = time.Parse(time.RFC3339Nano, timestamp)
		out = append(out, l)
	}
	return out, sc.Err()
}

// text writes a line for a person: time, process, event, and the fields.
func (l *logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v: %v (%v)", l.time.Format("15:04:05.000"), l.fields["name"], l.fields["msg"], l.fields["event"])
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "level", "msg", "event", "name", "role", "id":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if v := l.fields[name]; v != nil {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}
