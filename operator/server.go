package operator

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/ledgepin/ledgepin/control"
	"github.com/ledgepin/ledgepin/decision"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/metric"
	"github.com/ledgepin/ledgepin/settings"
	"github.com/ledgepin/ledgepin/wire"
)

// Process is one role of this process, as shown to operators.
type Process interface {
	// Ready reports whether it can serve, and what prevents or degrades that.
	Ready() (bool, string)
	// Dump returns its state, which is encoded as JSON.
	Dump() any
}

// Explainer is a Process that keeps decision records.
type Explainer interface {
	Explain(id string) (decision.Record, bool)
}

// Collector is a Process that updates its metrics on request.
type Collector interface {
	Collect()
}

// Options configure the operators' listener.
type Options struct {
	// Token is the operators' bearer token; empty accepts every request, which the
	// process settings allow only on loopback.
	Token string
	// Processes are the roles by name.
	Processes map[string]Process
	// Control is the replica in this process, or nil.
	Control *control.Control
	Log     *slog.Logger
	// ExtraRoutes adds routes; used in dev.
	ExtraRoutes func(*echo.Echo)
}

type server struct {
	Options
}

// Handler serves operators.
func Handler(o Options) http.Handler {
	s := &server{o}
	r := echo.New()
	r.HTTPErrorHandler = s.handleError
	r.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", s.ready)
	g := r.Group("", s.auth)
	g.GET("/metrics", s.metrics)
	g.GET("/v1/dump", s.dump)
	g.GET("/v1/explain/:id", s.explain)
	g.GET("/v1/settings", s.getSettings)
	g.GET("/v1/settings/effective", s.effective)
	g.GET("/v1/settings/history", s.history)
	g.POST("/v1/settings", s.apply)
	g.GET("/v1/upgrade", s.upgrade)
	g.POST("/v1/upgrade/raise", s.raise)
	g.GET("/v1/evacuations", s.listEvacuated)
	g.POST("/v1/evacuations/:zone/start", func(c echo.Context) error { return s.evacuate(c, false) })
	g.POST("/v1/evacuations/:zone/finish", func(c echo.Context) error { return s.evacuate(c, true) })
	if o.ExtraRoutes != nil {
		o.ExtraRoutes(r)
	}
	return r
}

// MetricsHandler serves only the metrics, without a token.
func MetricsHandler(o Options) http.Handler {
	s := &server{o}
	r := echo.New()
	r.HTTPErrorHandler = s.handleError
	r.GET("/metrics", s.metrics)
	return r
}

func (s *server) auth(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !wire.TokenOK(c.Request(), s.Token) {
			event.UnknownToken.Log(s.Log, "peer", c.RealIP())
			return fault.New(fault.Unauthorized, fault.StepAuth, "", "send the operators' token as Authorization: Bearer")
		}
		return next(c)
	}
}

// Problem is the body of an error.
type Problem struct {
	Code   string `json:"code"`
	Step   string `json:"step,omitempty"`
	Peer   string `json:"peer,omitempty"`
	Detail string `json:"detail"`
	// Since are the changes that the refused change conflicts with.
	Since []fleet.Past `json:"since,omitempty"`
}

func (s *server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		_ = c.JSON(he.Code, Problem{Code: fault.NotFound.ID, Detail: http.StatusText(he.Code)})
		return
	}
	f := fault.From(err)
	_ = c.JSON(f.Code.Status, Problem{Code: f.Code.ID, Step: string(f.Step), Peer: f.Peer, Detail: f.Detail})
}

func (s *server) processNames() []string {
	out := make([]string, 0, len(s.Processes))
	for name := range s.Processes {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Readiness is the answer of /readyz for one role.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Detail string `json:"detail,omitempty"`
}

func (s *server) ready(c echo.Context) error {
	out := map[string]Readiness{}
	status := http.StatusOK
	for _, name := range s.processNames() {
		ok, detail := s.Processes[name].Ready()
		out[name] = Readiness{ok, detail}
		if !ok {
			status = http.StatusServiceUnavailable
		}
	}
	return c.JSON(status, out)
}

func (s *server) metrics(c echo.Context) error {
	for _, p := range s.Processes {
		if k, ok := p.(Collector); ok {
			k.Collect()
		}
	}
	promhttp.HandlerFor(metric.Registry, promhttp.HandlerOpts{}).ServeHTTP(c.Response(), c.Request())
	return nil
}

func (s *server) dump(c echo.Context) error {
	out := map[string]any{}
	for _, name := range s.processNames() {
		out[name] = s.Processes[name].Dump()
	}
	return c.JSONPretty(http.StatusOK, out, "  ")
}

func (s *server) explain(c echo.Context) error {
	var found []decision.Record
	for _, name := range s.processNames() {
		if x, ok := s.Processes[name].(Explainer); ok {
			if rec, ok := x.Explain(c.Param("id")); ok {
				found = append(found, rec)
			}
		}
	}
	if len(found) == 0 {
		return fault.New(fault.NotFound, fault.StepParse, "", "this process has no record of the request")
	}
	return c.JSON(http.StatusOK, decision.Merge(found))
}

func (s *server) control() (*control.Control, error) {
	if s.Control == nil {
		return nil, fault.New(fault.NotFound, fault.StepSettings, "", "this process has no control role; send the request to one that has")
	}
	return s.Control, nil
}

func (s *server) getSettings(c echo.Context) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	cur, err := k.Settings()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, cur)
}

func (s *server) effective(c echo.Context) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	if _, err := k.Settings(); err != nil {
		return err
	}
	tree := k.Tree()
	if tree == nil {
		tree = &settings.Tree{}
	}
	return c.JSON(http.StatusOK, tree.Explain(c.QueryParam("site"), c.QueryParam("pool"), c.QueryParam("model")))
}

func (s *server) history(c echo.Context) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	past, err := k.History(after)
	if err != nil {
		return err
	}
	if past == nil {
		past = []fleet.Past{}
	}
	return c.JSON(http.StatusOK, past)
}

// Change is the body of a POST to /v1/settings.
type Change struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	Text string `json:"text"`
	Who  string `json:"who"`
	Note string `json:"note"`
	Dry  bool   `json:"dry"`
}

const maxNoteBytes = 1000

// readChange parses a change of the settings.
func readChange(body io.Reader) (Change, error) {
	var in Change
	dec := json.NewDecoder(io.LimitReader(body, 2*settings.MaxBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return Change{}, fault.Wrap(err, fault.BadRequest, fault.StepParse, "operator")
	}
	if in.ID == "" || len(in.ID) > maxNoteBytes || len(in.Who)+len(in.Note) > maxNoteBytes {
		return Change{}, fault.New(fault.BadRequest, fault.StepParse, "operator", "want a change ID, and short values for id, who and note")
	}
	return in, nil
}

func (s *server) apply(c echo.Context) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	in, err := readChange(c.Request().Body)
	if err != nil {
		return err
	}
	out, err := k.Change(c.Request().Context(), control.Proposal{
		ID: in.ID, Base: in.Base, Text: []byte(in.Text), Who: in.Who, Note: in.Note, DryRun: in.Dry,
	})
	if fault.Is(err, fault.Conflict) {
		f := fault.From(err)
		return c.JSON(f.Code.Status, Problem{Code: f.Code.ID, Step: string(f.Step), Peer: f.Peer, Detail: f.Detail, Since: out.Since})
	}
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, out)
}

// NewServer returns an HTTP server with the timeouts for operators.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: time.Minute, IdleTimeout: 2 * time.Minute}
}
