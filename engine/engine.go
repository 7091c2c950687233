package engine

import (
	"context"
	"strings"
	"time"
)

// Sampling holds the parameters that are passed through to the engine.
type Sampling struct {
	MaxTokens        int      `json:"max_tokens,omitempty" cbor:"1,keyasint,omitempty"`
	Temperature      *float64 `json:"temperature,omitempty" cbor:"2,keyasint,omitempty"`
	TopP             *float64 `json:"top_p,omitempty" cbor:"3,keyasint,omitempty"`
	Seed             *int64   `json:"seed,omitempty" cbor:"4,keyasint,omitempty"`
	Stop             []string `json:"stop,omitempty" cbor:"5,keyasint,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty" cbor:"6,keyasint,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty" cbor:"7,keyasint,omitempty"`
}

// Turn is one message of a chat.
type Turn struct {
	Role    string `json:"role" cbor:"1,keyasint"`
	Content string `json:"content" cbor:"2,keyasint"`
}

// Request is a prompt or a chat for an engine to complete.
type Request struct {
	// ID names the attempt; engines list and cancel requests by it.
	ID       string `json:"request_id" cbor:"1,keyasint"`
	Model    string `json:"model" cbor:"2,keyasint"`
	Prompt   string `json:"prompt,omitempty" cbor:"3,keyasint,omitempty"`
	Messages []Turn `json:"messages,omitempty" cbor:"4,keyasint,omitempty"`
	Priority int    `json:"priority" cbor:"5,keyasint"`
	// Sofar is the text generated so far, if another engine continues the answer;
	// SofarTokens counts its tokens.
	Sofar       string   `json:"continue_text,omitempty" cbor:"6,keyasint,omitempty"`
	SofarTokens int      `json:"continue_tokens,omitempty" cbor:"7,keyasint,omitempty"`
	Sampling    Sampling `json:"sampling" cbor:"8,keyasint"`
}

// Text returns the prompt, or the turns of the chat, as one text.
func (r *Request) Text() string {
	if r.Prompt != "" {
		return r.Prompt
	}
	var b strings.Builder
	for _, t := range r.Messages {
		b.WriteString(t.Role + "\n" + t.Content + "\n")
	}
	return b.String()
}

// KV names the result of a prefill, stored at the engine that computed it.
type KV struct {
	// Source is the address at which a decode engine fetches it.
	Source string `json:"source" cbor:"1,keyasint"`
	Handle string `json:"handle" cbor:"2,keyasint"`
	Bytes  int64  `json:"bytes" cbor:"3,keyasint"`
	Tokens int    `json:"tokens" cbor:"4,keyasint"`
	// TTL is the time from the end of the prefill for which the engine keeps it.
	TTL time.Duration `json:"ttl_ns" cbor:"5,keyasint"`
}

// Prefilled is the result of a prefill.
type Prefilled struct {
	KV KV `json:"kv"`
	// Cached counts the prompt tokens that were in the prefix cache.
	Cached int `json:"cached_tokens"`
}

// Chunk is one token of an answer, or its end.
type Chunk struct {
	Index int    `json:"index" cbor:"5,keyasint"`
	Text  string `json:"text" cbor:"6,keyasint,omitempty"`
	// Finish is the reason why the answer ended; empty before its end. The chunk that
	// has it has no text, and the index after the last token.
	Finish string `json:"finish_reason,omitempty" cbor:"7,keyasint,omitempty"`
}

// Load is an engine's own load report; it lags behind the actual load.
type Load struct {
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
	// Assets names what is loaded: "model@version", "model@version/adapter".
	Assets []string `json:"assets"`
	// Role is the role that the engine serves: prefill or decode.
	Role string `json:"role"`
	// Software is the version of the engine's software; empty if it is not reported.
	Software string `json:"software,omitempty"`
	// At is when the engine generated the report.
	At time.Time `json:"at"`
}

// CacheEvent reports that a prefix entered or left the cache. Sequence numbers
// have gaps where events were lost.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// Stream returns the chunks of one decode.
type Stream interface {
	// Next returns the next chunk; io.EOF after the one that ends the answer.
	Next() (Chunk, error)
	// Close closes the stream; the engine continues until the request is cancelled.
	Close() error
}

// Order changes what an engine serves; the agent has checked its fence.
type Order struct {
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Asset returns the name of a loaded model, or of one of its adapters.
func Asset(model, version, adapter string) string {
	name := model + "@" + version
	if adapter != "" {
		name += "/" + adapter
	}
	return name
}

// The actions of an Order.
const (
	ActionLoad    = "load_model"
	ActionUnload  = "unload_model"
	ActionAdapter = "load_adapter"
	ActionRole    = "change_role"
)

// Engine is the interface of a model engine. Errors are fault errors with the step and the
// address of the engine.
type Engine interface {
	// Prefill computes and stores the KV cache of a request.
	Prefill(ctx context.Context, r Request) (Prefilled, error)
	// Decode imports the KV cache and streams the tokens from index from on. It
	// returns when the import is complete.
	Decode(ctx context.Context, r Request, kv KV, from int) (Stream, error)
	// Resume reopens the stream of a running decode at an index.
	Resume(ctx context.Context, id string, from int) (Stream, error)
	// Cancel ends a request and frees its memory. It returns nil once the engine
	// holds nothing of the request, also if it never ran it.
	Cancel(ctx context.Context, id string) error
	// Running lists the IDs of all requests that occupy memory.
	Running(ctx context.Context) ([]string, error)
	// Load returns the newest load report.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order carries out an order.
	Order(ctx context.Context, o Order) error
}
