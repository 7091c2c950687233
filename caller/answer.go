package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/entry"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/stream"
)

func (s *server) chat(c echo.Context) error       { return s.complete(c, true) }
func (s *server) completion(c echo.Context) error { return s.complete(c, false) }

func (s *server) complete(c echo.Context, chat bool) error {
	in, err := s.read(c)
	if err != nil {
		return err
	}
	p, err := Parse(in.body, chat)
	if err != nil {
		return err
	}
	f, err := s.entry.Submit(c.Request().Context(), entry.ModelRequest{Grant: in.grant, Key: in.key, Request: p.Request})
	if err != nil {
		return err
	}
	defer f.Cancel()
	c.Response().Header().Set(echo.HeaderXRequestID, f.ID)
	a := &answer{c: c, flow: f, chat: chat, model: p.Request.Model, created: clock.WallTime().Unix(), usage: p.Usage}
	if p.Stream {
		return a.writeStream()
	}
	return a.writeComplete()
}

// answer writes one completion to its caller.
type answer struct {
	c       echo.Context
	flow    *entry.Flow
	chat    bool
	model   string
	created int64
	usage   bool
	tokens  int
}

// completion is an answer or a chunk of one, in the format of the OpenAI API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (a *answer) envelope(object string) completion {
	return completion{ID: "cmpl-" + a.flow.ID, Object: object, Created: a.created, Model: a.model, Choices: []choice{}}
}

func (a *answer) usageCounts() *usage {
	p := a.flow.PromptTokens()
	return &usage{Prompt: p, Completion: a.tokens, Total: p + a.tokens}
}

// readAnswer reads an answer to the end of its flow. For a request that may run only once,
// the flow ends only after the outcome is recorded: a caller that has received the answer and
// sends the request again must get it again.
func readAnswer(next func() (stream.Chunk, error)) (text, finish string, tokens int, err error) {
	var all strings.Builder
	for {
		chunk, err := next()
		if errors.Is(err, io.EOF) && finish != "" {
			return all.String(), finish, tokens, nil
		}
		if err != nil {
			return "", "", 0, err
		}
		all.WriteString(chunk.Text)
		if finish = chunk.Finish; finish == "" {
			tokens++
		}
	}
}

// writeComplete reads the complete answer and writes it in one response.
func (a *answer) writeComplete() error {
	full, finish, tokens, err := readAnswer(func() (stream.Chunk, error) { return a.flow.Next(a.c.Request().Context()) })
	if err != nil {
		return err
	}
	a.tokens = tokens
	out := a.envelope("text_completion")
	ch := choice{Finish: &finish}
	if a.chat {
		out.Object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: full}
	} else {
		ch.Text = &full
	}
	out.Choices = []choice{ch}
	out.Usage = a.usageCounts()
	data, err := json.Marshal(out)
	if err != nil {
		return err
	}
	return writeBody(a.c, http.StatusOK, echo.MIMEApplicationJSON, data)
}

// writePieceBytes is how much of a body must be written within writeTimeout.
const writePieceBytes = 64 << 10

// writeBody writes an answer whose body is complete. A caller that doesn't read is disconnected
// after writeTimeout, so that it holds up no planned stop.
func writeBody(c echo.Context, status int, contentType string, body []byte) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, contentType)
	w.WriteHeader(status)
	rc := http.NewResponseController(w.Writer)
	for piece := range slices.Chunk(body, writePieceBytes) {
		_ = rc.SetWriteDeadline(clock.Deadline(writeTimeout))
		if _, err := w.Write(piece); err != nil {
			return nil // the caller disconnected or is too slow
		}
	}
	return nil
}

// writeStream writes the answer as server-sent events. It writes the status with the first
// token, so that a refusal still has its own status.
func (a *answer) writeStream() error {
	ctx := a.c.Request().Context()
	started := false
	for {
		chunk, err := a.flow.Next(ctx)
		if errors.Is(err, io.EOF) && started {
			return nil
		}
		if err != nil && !started {
			return err // also at an end without a token: nothing written would be an empty success
		}
		if err != nil {
			return a.writeError(err)
		}
		if !started {
			started = true
			a.writeHead()
		}
		if err := a.writeChunk(chunk); err != nil {
			return nil // the caller disconnected or is too slow; Cancel cleans up
		}
	}
}

func (a *answer) writeHead() {
	h := a.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	a.c.Response().WriteHeader(http.StatusOK)
}

func (a *answer) writeChunk(chunk stream.Chunk) error {
	out := a.envelope("text_completion")
	ch := choice{}
	if a.chat {
		out.Object = "chat.completion.chunk"
		ch.Delta = &message{Content: chunk.Text}
		if chunk.Index == 0 {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &chunk.Text
	}
	if chunk.Finish != "" {
		ch.Finish = &chunk.Finish
	} else {
		a.tokens++
	}
	out.Choices = []choice{ch}
	if err := a.writeEvent(out); err != nil || chunk.Finish == "" {
		return err
	}
	return a.writeEnd(out.Object)
}

// writeEnd writes what follows the last token.
func (a *answer) writeEnd(object string) error {
	if a.usage {
		out := a.envelope(object)
		out.Usage = a.usageCounts()
		if err := a.writeEvent(out); err != nil {
			return err
		}
	}
	return a.write([]byte("[DONE]"))
}

func (a *answer) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.write(data)
}

func (a *answer) write(data []byte) error {
	w := a.c.Response()
	rc := http.NewResponseController(w.Writer)
	_ = rc.SetWriteDeadline(clock.Deadline(writeTimeout))
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return rc.Flush()
}

// writeError reports, within a stream that has begun, that the answer is incomplete.
func (a *answer) writeError(err error) error {
	if a.c.Request().Context().Err() != nil {
		return nil
	}
	return a.writeEvent(errorBody(fault.From(err)))
}
