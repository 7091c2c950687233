package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/url"
	"os"
	"path"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/settings"
)

// Bounds on what callers may send.
const (
	MaxBodyBytes   = 8 << 20
	MaxHeaderBytes = 32 << 10
	maxKeyBytes    = 200
	headerTimeout  = 10 * time.Second
	// BodyTimeout is the time within which a body must arrive.
	BodyTimeout = 30 * time.Second
	// writeTimeout bounds one write to a caller.
	writeTimeout = 10 * time.Second
)

// MaxOpenRequests is the maximum number of open requests of one process.
const MaxOpenRequests = 20000

type server struct {
	entry       *entry.Entry
	log         *slog.Logger
	open        chan struct{}
	bodyTimeout time.Duration
}

// Handler serves callers; bodyTimeout is the time within which a body must arrive.
func Handler(e *entry.Entry, log *slog.Logger, bodyTimeout time.Duration) http.Handler {
	s := &server{entry: e, log: log, open: make(chan struct{}, MaxOpenRequests), bodyTimeout: bodyTimeout}
	r := echo.New()
	r.HideBanner = true
	r.HTTPErrorHandler = s.handleError
	r.Use(s.limit)
	r.POST("/v1/chat/completions", s.chat)
	r.POST("/v1/completions", s.completion)
	r.GET("/v1/models", s.models)
	r.Any("/services/:name/*", s.service)
	return r
}

// NewServer returns an HTTP server with the bounds of this package.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: MaxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * time.Minute,
	}
}

// limit limits the open requests and the time in which a body must arrive.
func (s *server) limit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case s.open <- struct{}{}:
		default:
			return fault.New(fault.QueueFull, fault.StepAdmit, "", "too many open requests")
		}
		defer func() { <-s.open }()
		rc := http.NewResponseController(c.Response().Writer)
		_ = rc.SetReadDeadline(clock.Deadline(s.bodyTimeout))
		return next(c)
	}
}

// grant returns what the caller's token permits.
func (s *server) grant(c echo.Context) (settings.Grant, error) {
	token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if ok {
		g, err := s.entry.Grant(token)
		if err == nil {
			return g, nil
		}
		if !fault.Is(err, fault.Unauthorized) {
			return g, err
		}
	}
	event.UnknownToken.Log(s.log, "peer", c.RealIP())
	return settings.Grant{}, fault.New(fault.Unauthorized, fault.StepAuth, "", "send a valid token as Authorization: Bearer")
}

// idempotencyKey returns the Idempotency-Key header.
func idempotencyKey(c echo.Context) (string, error) {
	k := c.Request().Header.Get("Idempotency-Key")
	if len(k) > maxKeyBytes {
		return "", fault.New(fault.BadRequest, fault.StepParse, "", fmt.Sprintf("the Idempotency-Key exceeds %d bytes", maxKeyBytes))
	}
	if !utf8.ValidString(k) { // other processes would receive the same text for different keys
		return "", fault.New(fault.BadRequest, fault.StepParse, "", "the Idempotency-Key is not UTF-8")
	}
	return k, nil
}

// readBody reads the complete body, up to MaxBodyBytes bytes. It gives up once the entry drains,
// that is, once the context draining is done, since the request would be refused.
func readBody(c echo.Context, draining context.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response().Writer)
	stop := context.AfterFunc(draining, func() { _ = rc.SetReadDeadline(clock.Deadline(0)) })
	data, err := io.ReadAll(http.MaxBytesReader(c.Response().Writer, c.Request().Body, MaxBodyBytes))
	stop()
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && draining.Err() != nil:
		return nil, fault.New(fault.Draining, fault.StepParse, "", "this entry is draining")
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.PromptTooLong, fault.StepParse, "", fmt.Sprintf("the body exceeds %d bytes", MaxBodyBytes))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.BadRequest, fault.StepParse, "", "the body did not arrive in time")
	case err != nil:
		return nil, fault.New(fault.BadRequest, fault.StepParse, "", "the body is incomplete") // the cause would expose socket addresses
	}
	// The body is complete; from now on a long wait is for the answer.
	_ = rc.SetReadDeadline(time.Time{})
	return data, nil
}

// ErrorBody is an error in the format of the OpenAI API.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error is the inner object of an error body.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// NotRun reports that no engine or service was asked to do the work.
	NotRun bool   `json:"not_run,omitempty"`
	Step   string `json:"step,omitempty"`
	Peer   string `json:"peer,omitempty"`
}

// errorBody returns the error body for a caller.
func errorBody(f *fault.Error) ErrorBody {
	kind := "server_error"
	if f.Code.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return ErrorBody{Error: Error{
		Message: f.Detail, Type: kind, Code: f.Code.ID, NotRun: f.Code.NotRun, Step: string(f.Step), Peer: f.Peer,
	}}
}

// handleError answers a request with its error.
func (s *server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	f := toFault(err)
	if isInputError(f.Code) {
		event.BadInput.Log(s.log, "code", f.Code.ID, "detail", f.Detail)
	}
	setRetryAfter(c, f)
	_ = c.JSON(f.Code.Status, errorBody(f))
}

// isInputError reports whether a code blames the caller's input.
func isInputError(c *fault.Code) bool {
	clientError := c.Status >= http.StatusBadRequest && c.Status < http.StatusInternalServerError
	return clientError && c.NotRun && c != fault.Unauthorized && c.Status != http.StatusTooManyRequests
}

func toFault(err error) *fault.Error {
	var he *echo.HTTPError
	if errors.As(err, &he) {
		code := fault.BadRequest
		if he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed {
			code = fault.NotFound
		}
		return &fault.Error{Code: code, Step: fault.StepParse, Detail: fmt.Sprint(he.Message)}
	}
	return fault.From(err)
}

// setRetryAfter sets the Retry-After header of a refusal.
func setRetryAfter(c echo.Context, f *fault.Error) {
	retry := f.Code.Status == http.StatusServiceUnavailable || f.Code.Status == http.StatusTooManyRequests
	if !retry {
		return
	}
	seconds := math.Ceil(max(f.RetryAfter, time.Second).Seconds())
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
}

// callerRequest holds the token's grant, the key and the body of a request.
type callerRequest struct {
	grant settings.Grant
	key   string
	body  []byte
}

// read authenticates the caller and reads its request.
func (s *server) read(c echo.Context) (callerRequest, error) {
	var in callerRequest
	var err error
	if in.grant, err = s.grant(c); err != nil {
		return in, err
	}
	if in.key, err = idempotencyKey(c); err != nil {
		return in, err
	}
	in.body, err = readBody(c, s.entry.Draining())
	return in, err
}

func (s *server) service(c echo.Context) error {
	in, err := s.read(c)
	if err != nil {
		return err
	}
	target, err := ServicePath(c.Request().URL, c.Param("name"))
	if err != nil {
		return err
	}
	ans, id, err := s.entry.Call(c.Request().Context(), entry.ServiceCall{
		Grant: in.grant, Service: c.Param("name"), Key: in.key, Method: c.Request().Method, Path: target,
		Type: c.Request().Header.Get(echo.HeaderContentType), Body: in.body,
	})
	c.Response().Header().Set(echo.HeaderXRequestID, id)
	if err != nil {
		return err
	}
	return writeBody(c, ans.Status, ans.Type, ans.Body)
}

// ServicePath returns the path and query with which a service is called. The path
// determines which calls must not be repeated, so an ambiguous path is refused.
func ServicePath(u *url.URL, service string) (string, error) {
	p := strings.TrimPrefix(u.Path, "/services/"+service)
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if p != clean || strings.ContainsAny(p, "\\;\x00") {
		return "", fault.New(fault.BadRequest, fault.StepParse, "", "the path has empty segments, dots, or unsupported characters")
	}
	return (&url.URL{Path: p, RawQuery: u.RawQuery}).RequestURI(), nil
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *server) models(c echo.Context) error {
	if _, err := s.grant(c); err != nil {
		return err
	}
	out := modelList{Object: "list", Data: []model{}}
	for _, name := range s.entry.Models() {
		out.Data = append(out.Data, model{ID: name, Object: "model", OwnedBy: "ledgepin"})
	}
	return c.JSON(http.StatusOK, out)
}
