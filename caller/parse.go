package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/fault"
)

// completionRequest is a completion request of the OpenAI API with the supported parameters.
type completionRequest struct {
	Model            string          `json:"model"`
	Prompt           json.RawMessage `json:"prompt"`
	Messages         []turn          `json:"messages"`
	Stream           bool            `json:"stream"`
	StreamOptions    *streamOptions  `json:"stream_options"`
	MaxTokens        *int            `json:"max_tokens"`
	MaxCompletion    *int            `json:"max_completion_tokens"`
	Temperature      *float64        `json:"temperature"`
	TopP             *float64        `json:"top_p"`
	Seed             *int64          `json:"seed"`
	Stop             json.RawMessage `json:"stop"`
	PresencePenalty  *float64        `json:"presence_penalty"`
	FrequencyPenalty *float64        `json:"frequency_penalty"`
	N                *int            `json:"n"`
	User             string          `json:"user"`
	Store            *bool           `json:"store"`
	Metadata         json.RawMessage `json:"metadata"`
}

type streamOptions struct {
	IncludeUsage       bool `json:"include_usage"`
	IncludeObfuscation bool `json:"include_obfuscation"`
}

// turn is one message; its content is a text or a list of text parts.
type turn struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	Name    string          `json:"name"`
}

type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parsed is a valid request.
type Parsed struct {
	Request engine.Request
	Stream  bool
	// Usage reports that the caller requested the token counts in a last chunk.
	Usage bool
}

func badRequest(format string, args ...any) error {
	return fault.New(fault.BadRequest, fault.StepParse, "", fmt.Sprintf(format, args...))
}

const maxTurns = 4096

// Parse parses a chat completion request if chat is set, otherwise a plain one.
func Parse(data []byte, chat bool) (Parsed, error) {
	in, err := decode(data)
	if err != nil {
		return Parsed{}, err
	}
	out := Parsed{Stream: in.Stream, Usage: in.StreamOptions != nil && in.StreamOptions.IncludeUsage}
	out.Request.Model = in.Model
	if in.Model == "" {
		return Parsed{}, badRequest("model is missing")
	}
	if in.N != nil && *in.N != 1 {
		return Parsed{}, fault.New(fault.UnsupportedParameter, fault.StepParse, "", "n must be 1")
	}
	if chat {
		err = in.chat(&out.Request)
	} else {
		err = in.prompt(&out.Request)
	}
	if err != nil {
		return Parsed{}, err
	}
	out.Request.Sampling, err = in.sampling()
	return out, err
}

func decode(data []byte) (*completionRequest, error) {
	in := &completionRequest{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(in); err != nil {
		if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return nil, fault.New(fault.UnsupportedParameter, fault.StepParse, "", "the parameter "+name+" is not supported")
		}
		return nil, badRequest("the body is not a valid JSON request: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, badRequest("the body has more than one JSON value")
	}
	return in, nil
}

func (c *completionRequest) chat(r *engine.Request) error {
	if len(c.Messages) == 0 || len(c.Messages) > maxTurns {
		return badRequest("messages must have 1 to %d entries", maxTurns)
	}
	for i, t := range c.Messages {
		text, err := contentText(t.Content)
		if err != nil {
			return badRequest("messages[%d].content: %v", i, err)
		}
		switch t.Role {
		case "system", "developer", "user", "assistant":
		default:
			return badRequest("messages[%d].role: want system, developer, user or assistant", i)
		}
		r.Messages = append(r.Messages, engine.Turn{Role: t.Role, Content: text})
	}
	return nil
}

var errNotText = errors.New("want a text or a list of text parts")

func contentText(raw json.RawMessage) (string, error) {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, nil
	}
	var parts []textPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", errNotText
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", errNotText
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func (c *completionRequest) prompt(r *engine.Request) error {
	if json.Unmarshal(c.Prompt, &r.Prompt) != nil || r.Prompt == "" {
		return badRequest("prompt: want a non-empty text")
	}
	return nil
}

func (c *completionRequest) sampling() (engine.Sampling, error) {
	s := engine.Sampling{
		Temperature: c.Temperature, TopP: c.TopP, Seed: c.Seed,
		PresencePenalty: c.PresencePenalty, FrequencyPenalty: c.FrequencyPenalty,
	}
	limit := c.MaxTokens
	if c.MaxCompletion != nil {
		limit = c.MaxCompletion
	}
	if limit != nil {
		if *limit < 1 {
			return s, badRequest("max_tokens must be at least 1")
		}
		s.MaxTokens = *limit
	}
	if c.Temperature != nil && (*c.Temperature < 0 || *c.Temperature > 2) {
		return s, badRequest("temperature must be from 0 to 2")
	}
	if c.TopP != nil && (*c.TopP < 0 || *c.TopP > 1) {
		return s, badRequest("top_p must be from 0 to 1")
	}
	stop, err := c.stop()
	s.Stop = stop
	return s, err
}

const maxStops = 4

func (c *completionRequest) stop() ([]string, error) {
	if len(c.Stop) == 0 || string(c.Stop) == "null" {
		return nil, nil
	}
	var one string
	if json.Unmarshal(c.Stop, &one) == nil {
		return []string{one}, nil
	}
	var list []string
	if json.Unmarshal(c.Stop, &list) != nil || len(list) > maxStops {
		return nil, badRequest("stop: want a text or a list of at most %d texts", maxStops)
	}
	return list, nil
}
