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

// logLine is one line about a request in a log file. file is the index of the file, number the
// line's number in it.
type logLine struct {
	time   time.Time
	file   int
	number int
	fields map[string]any
}

// maxLogLine is the maximum length of a line of a log file in bytes.
const maxLogLine = 1 << 20

// explainLogs prints the lines with a request's ID from log files. Lines of one file stay in
// their order, those of different files are ordered by time.
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
		return fmt.Errorf("no log line about request %s in %d files", id, len(files))
	}
	slices.SortStableFunc(found, func(a, b logLine) int {
		if a.file == b.file {
			return a.number - b.number // the clock of the VM may have been set back
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

// readLogLines returns the lines of a file that are about a request. Lines that aren't JSON are
// skipped.
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

// text formats a line for operators: time, process, event, and the other attributes by name.
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
