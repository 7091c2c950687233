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
	at     time.Time
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
		lines, err := linesOf(name, n, id)
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
		return a.at.Compare(b.at)
	})
	for _, l := range found {
		if _, err := fmt.Fprintln(out, l.text()); err != nil {
			return err
		}
	}
	return nil
}

// linesOf returns the lines of a file that are about a request. Lines that are
// no JSON are passed over.
func linesOf(name string, file int, id string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []logLine
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLine)
	for number := 0; sc.Scan(); number++ {
		at := strings.IndexByte(sc.Text(), '{')
		if at < 0 || !strings.Contains(sc.Text(), id) {
			continue
		}
		l := logLine{file: file, number: number, fields: map[string]any{}}
		if json.Unmarshal(sc.Bytes()[at:], &l.fields) != nil || l.fields["id"] != id {
			continue
		}
		when, _ := l.fields["time"].(string)
		l.at, _ = time.Parse(time.RFC3339Nano, when)
		out = append(out, l)
	}
	return out, sc.Err()
}

// text writes a line for a person: time, process, event, and the fields.
func (l *logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v: %v (%v)", l.at.Format("15:04:05.000"), l.fields["name"], l.fields["msg"], l.fields["event"])
	var rest []string
	for name := range l.fields {
		switch name {
		case "time", "level", "msg", "event", "name", "role", "id":
		default:
			rest = append(rest, name)
		}
	}
	slices.Sort(rest)
	for _, name := range rest {
		if v := l.fields[name]; v != nil {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}
