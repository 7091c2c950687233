package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/config"
	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/operator"
	"github.com/ledgepin/ledgepin/settings"
)

// callTimeout limits one call. Control answers a change in less time, and when an address does
// not respond, the next one is tried soon.
const callTimeout = 5 * time.Second

// target has the flags that select the operators' listeners to call.
type target struct {
	Operator  []string `default:"127.0.0.1:8081" help:"Operators' addresses, tried in turn."`
	TokenFile string   `type:"path" help:"File with the operators' token."`
	CA        string   `type:"path" help:"Use TLS, and check the certificate against this file."`
}

// client returns the HTTP client and the prefix of URLs with the scheme.
func (t *target) client() (*http.Client, string, error) {
	if t.CA == "" {
		return http.DefaultClient, "http://", nil
	}
	pool, err := config.ReadCA(t.CA)
	if err != nil {
		return nil, "", err
	}
	c := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: c}}, "https://", nil
}

// call sends a request with in as its JSON body, if any, to one address, and decodes the JSON
// response into out.
func (t *target) call(ctx context.Context, addr, method, path string, in, out any) error {
	token, err := config.ReadToken(t.TokenFile)
	if err != nil {
		return err
	}
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, scheme, err := t.client()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+addr+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.LinkLost, fault.StepLink, addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, addr)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// responseError converts an error response to a fault. After a conflict, its text lists the
// changes since the base revision.
func responseError(resp *http.Response, addr string) error {
	var p operator.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return fault.New(fault.Internal, fault.StepLink, addr, fmt.Sprintf("status %d", resp.StatusCode))
	}
	detail := p.Detail
	for _, past := range p.Since {
		detail += fmt.Sprintf("\n  revision %d by %s at %s (change %s)", past.Revision, past.Who, past.When.Format(time.RFC3339), past.ID)
		for _, e := range past.Edits {
			detail += "\n    " + e
		}
	}
	return fault.New(fault.ByID(p.Code), fault.Step(p.Step), addr, detail)
}

// callAny calls the addresses in order until one is reachable, is the leader if the call requires
// it, and has the requested item.
func (t *target) callAny(ctx context.Context, method, path string, in, out any) error {
	var lastErr error
	for _, addr := range t.Operator {
		lastErr = t.call(ctx, addr, method, path, in, out)
		retry := fault.Is(lastErr, fault.NotLeader) || fault.Is(lastErr, fault.LinkLost) || fault.Is(lastErr, fault.NotFound)
		if !retry {
			return lastErr
		}
	}
	return lastErr
}

type settingsCmd struct {
	Get     getCmd     `cmd:"" help:"Print the settings tree, or the values in force at a place."`
	Set     setCmd     `cmd:"" help:"Change one limit."`
	Apply   applyCmd   `cmd:"" help:"Replace the tree by a file."`
	History historyCmd `cmd:"" help:"List the changes."`
}

type getCmd struct {
	target
	Effective bool   `help:"Print each value in force and the level that it comes from."`
	Site      string `help:"Site, for --effective."`
	Pool      string `help:"Pool, for --effective."`
	Model     string `help:"Model, for --effective."`
}

// Run implements the settings get command.
func (c *getCmd) Run(s *commandIO) error {
	if c.Effective {
		return c.effective(s)
	}
	var current control.CurrentSettings
	if err := c.callAny(s.ctx, http.MethodGet, "/v1/settings", nil, &current); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.out, "# revision %d\n%s", current.Revision, current.Text)
	return err
}

func (c *getCmd) effective(s *commandIO) error {
	q := url.Values{"site": {c.Site}, "pool": {c.Pool}, "model": {c.Model}}
	var values []settings.Value
	if err := c.callAny(s.ctx, http.MethodGet, "/v1/settings/effective?"+q.Encode(), nil, &values); err != nil {
		return err
	}
	for _, v := range values {
		if _, err := fmt.Fprintf(s.out, "%-18s %-10s from %s\n", v.Name, v.Value, v.From); err != nil {
			return err
		}
	}
	return nil
}

// changeFlags has the flags of all commands that change the settings.
type changeFlags struct {
	target
	ID     string `help:"Change ID; give the same one again to resend a change."`
	Base   int64  `default:"-1" help:"Revision that the change is based on; the newest if not given."`
	Note   string `help:"Why, for the history."`
	DryRun bool   `help:"Only check and show what would change."`
}

// send submits a change and prints the outcome.
func (c *changeFlags) send(s *commandIO, base uint64, text string) error {
	if c.ID == "" {
		c.ID = newChangeID()
	}
	in := operator.Change{ID: c.ID, Base: base, Text: text, Who: username(), Note: c.Note, Dry: c.DryRun}
	var out control.Outcome
	if err := c.callAny(s.ctx, http.MethodPost, "/v1/settings", in, &out); err != nil {
		if fault.Is(err, fault.ChangeOutcomeUnknown) {
			return fmt.Errorf("%w (resend with --id %s)", err, c.ID)
		}
		return err
	}
	for _, e := range out.Edits {
		fmt.Fprintln(s.out, e)
	}
	if c.DryRun {
		_, err := fmt.Fprintf(s.out, "dry run: revision stays %d\n", out.Revision)
		return err
	}
	_, err := fmt.Fprintf(s.out, "revision %d (change %s)\n", out.Revision, out.ID)
	return err
}

func newChangeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func username() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type applyCmd struct {
	changeFlags
	File string `arg:"" type:"path" help:"File with the whole tree."`
}

// Run implements the settings apply command.
func (c *applyCmd) Run(s *commandIO) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := settings.Parse(c.File, data); err != nil {
		return err
	}
	base := uint64(max(c.Base, 0))
	if c.Base < 0 {
		var current control.CurrentSettings
		if err := c.callAny(s.ctx, http.MethodGet, "/v1/settings", nil, &current); err != nil {
			return err
		}
		base = current.Revision
	}
	return c.send(s, base, string(data))
}

type setCmd struct {
	changeFlags
	Path  string `arg:"" help:"Dotted path of the value, such as fleet.queue_limit."`
	Value string `arg:"" help:"New value in YAML."`
}

// Run implements the settings set command.
func (c *setCmd) Run(s *commandIO) error {
	var current control.CurrentSettings
	if err := c.callAny(s.ctx, http.MethodGet, "/v1/settings", nil, &current); err != nil {
		return err
	}
	if c.Base >= 0 && uint64(c.Base) != current.Revision {
		return fault.New(fault.Conflict, fault.StepSettings, "", fmt.Sprintf("based on revision %d, and %d is the newest", c.Base, current.Revision))
	}
	text, err := settings.Set([]byte(current.Text), strings.Split(c.Path, "."), c.Value)
	if err != nil {
		return err
	}
	return c.send(s, current.Revision, string(text))
}

type historyCmd struct {
	target
	After uint64 `help:"Only changes after this revision."`
}

// Run implements the settings history command.
func (c *historyCmd) Run(s *commandIO) error {
	var past []fleet.Past
	if err := c.callAny(s.ctx, http.MethodGet, fmt.Sprintf("/v1/settings/history?after=%d", c.After), nil, &past); err != nil {
		return err
	}
	for _, p := range past {
		fmt.Fprintf(s.out, "%d  %s  %s  %s  %s\n", p.Revision, p.When.Format(time.RFC3339), p.Who, p.ID, p.Note)
		for _, e := range p.Edits {
			fmt.Fprintln(s.out, "    "+e)
		}
	}
	return nil
}

type dumpCmd struct {
	Address   string `arg:"" help:"Operators' address of the process."`
	TokenFile string `type:"path" help:"File with the operators' token."`
	CA        string `type:"path" help:"Use TLS, and check the certificate against this file."`
}

// Run implements the dump command.
func (c *dumpCmd) Run(s *commandIO) error {
	t := target{Operator: []string{c.Address}, TokenFile: c.TokenFile, CA: c.CA}
	var out json.RawMessage
	if err := t.callAny(s.ctx, http.MethodGet, "/v1/dump", nil, &out); err != nil {
		return err
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, out, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(s.out, pretty.String())
	return err
}

type explainCmd struct {
	target
	Log []string `type:"existingfile" help:"Log files of processes to read instead of asking them."`
	ID  string   `arg:"" name:"request-id" help:"ID of the request, from its header or the log."`
}

// Run implements the explain command: it merges the decision records of all addresses, or reads
// log files.
func (c *explainCmd) Run(s *commandIO) error {
	if len(c.Log) > 0 {
		return explainLogs(s.out, c.ID, c.Log)
	}
	var found []decision.Record
	var lastErr error
	for _, addr := range c.Operator {
		var rec decision.Record
		err := c.call(s.ctx, addr, http.MethodGet, "/v1/explain/"+url.PathEscape(c.ID), nil, &rec)
		if err != nil {
			lastErr = err
			continue
		}
		found = append(found, rec)
	}
	if len(found) == 0 {
		return errors.Join(lastErr)
	}
	return decision.Merge(found).Write(s.out)
}
