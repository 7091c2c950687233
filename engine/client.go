package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/boundedhttp"
)

// Bounds on what an engine may send.
const (
	maxBodyBytes = 4 << 20
	maxLineBytes = 1 << 20
	// maxQuietBytes bounds what is no chunk between two chunks of a stream, such as comments that
	// keep the connection alive.
	maxQuietBytes = 64 << 10
)

// Client is an Engine over HTTP.
type Client struct {
	addr string
	http *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at addr, an IP address and port.
func NewClient(addr string) *Client {
	return &Client{addr: addr, http: &http.Client{Transport: boundedhttp.NewTransport()}}
}

// kvTransfer is the KV-transfer object of a request.
type kvTransfer struct {
	Export bool `json:"export,omitempty"`
	Import *KV  `json:"import,omitempty"`
	From   int  `json:"from_index,omitempty"`
}

// requestBody is a completion request as it is sent.
type requestBody struct {
	Request
	Stream   bool        `json:"stream"`
	Transfer *kvTransfer `json:"kv_transfer"`
}

func (r Request) path() string {
	if len(r.Messages) > 0 {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Prefill implements Engine.
func (c *Client) Prefill(ctx context.Context, r Request) (Prefilled, error) {
	in := requestBody{Request: r, Transfer: &kvTransfer{Export: true}}
	return fetch[Prefilled](ctx, c, fault.StepPrefill, http.MethodPost, r.path(), in)
}

// Decode implements Engine.
func (c *Client) Decode(ctx context.Context, r Request, kv KV, from int) (Stream, error) {
	in := requestBody{Request: r, Stream: true, Transfer: &kvTransfer{Import: &kv, From: from}}
	return c.stream(ctx, fault.StepTransfer, http.MethodPost, r.path(), in)
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, id string, from int) (Stream, error) {
	return c.stream(ctx, fault.StepDecode, http.MethodGet, "/v1/requests/"+id+"?from="+strconv.Itoa(from), nil)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, fault.StepCancel, http.MethodDelete, "/v1/requests/"+id, nil, nil)
}

// Running implements Engine.
func (c *Client) Running(ctx context.Context) ([]string, error) {
	return fetch[[]string](ctx, c, fault.StepCancel, http.MethodGet, "/v1/requests", nil)
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	return fetch[Load](ctx, c, fault.StepLink, http.MethodGet, "/v1/load", nil)
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	path := "/v1/cache_events?after=" + strconv.FormatUint(after, 10)
	return fetch[[]CacheEvent](ctx, c, fault.StepLink, http.MethodGet, path, nil)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.call(ctx, fault.StepOrder, http.MethodPost, "/v1/orders", o, nil)
}

// fetch calls the engine and decodes its answer. If the answer is unreadable, it returns
// nothing of it.
func fetch[T any](ctx context.Context, c *Client, step fault.Step, method, path string, in any) (T, error) {
	var out, none T
	if err := c.call(ctx, step, method, path, in, &out); err != nil {
		return none, err
	}
	return out, nil
}

func (c *Client) call(ctx context.Context, step fault.Step, method, path string, in, out any) error {
	resp, err := c.send(ctx, step, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return fault.Wrap(err, fault.EngineLost, step, c.addr)
	}
	if out == nil {
		return nil
	}
	return fault.Wrap(json.Unmarshal(data, out), fault.EngineLost, step, c.addr)
}

func (c *Client) stream(ctx context.Context, step fault.Step, method, path string, in any) (Stream, error) {
	resp, err := c.send(ctx, step, method, path, in)
	if err != nil {
		return nil, err
	}
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &sse{addr: c.addr, body: resp.Body, scan: scan}, nil
}

func (c *Client) send(ctx context.Context, step fault.Step, method, path string, in any) (*http.Response, error) {
	var data []byte
	if in != nil {
		var err error
		if data, err = json.Marshal(in); err != nil {
			return nil, fault.Wrap(err, fault.Internal, step, c.addr)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, step, c.addr)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.EngineLost, step, c.addr)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return nil, fault.New(fault.EngineLost, step, c.addr, fmt.Sprintf("status %d: %s", resp.StatusCode, text))
	}
	return resp, nil
}

// sse reads chunks from server-sent events.
type sse struct {
	addr string
	body io.ReadCloser
	scan *bufio.Scanner
	end  bool
}

// Next implements Stream.
func (s *sse) Next() (Chunk, error) {
	if s.end {
		return Chunk{}, io.EOF
	}
	quiet := 0
	for quiet <= maxQuietBytes && s.scan.Scan() {
		data, ok := strings.CutPrefix(s.scan.Text(), "data: ")
		if !ok {
			quiet += len(s.scan.Bytes()) + 1
			continue
		}
		return s.chunk(data)
	}
	err := s.scan.Err()
	if quiet > maxQuietBytes {
		err = fmt.Errorf("no chunk in %d bytes of the stream", quiet)
	}
	if err == nil {
		err = errors.New("the stream ended before the answer was complete")
	}
	return Chunk{}, fault.Wrap(err, fault.EngineLost, fault.StepDecode, s.addr)
}

func (s *sse) chunk(data string) (Chunk, error) {
	c, err := ParseChunk([]byte(data))
	if err != nil {
		return Chunk{}, fault.Wrap(err, fault.EngineLost, fault.StepDecode, s.addr)
	}
	s.end = c.Finish != ""
	return c, nil
}

// ParseChunk parses the JSON of one chunk.
func ParseChunk(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, fmt.Errorf("engine: invalid chunk: %w", err)
	}
	if c.Index < 0 {
		return Chunk{}, errors.New("engine: invalid chunk: negative index")
	}
	return c, nil
}

// Close implements Stream.
func (s *sse) Close() error { return s.body.Close() }
