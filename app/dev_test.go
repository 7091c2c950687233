package app_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ledgepin/ledgepin/app"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/standin"
)

// startDev runs dev on free ports and checks at the end of the test that no
// goroutine leaks.
func startDev(t *testing.T, o app.DevOptions) *app.Dev {
	t.Helper()
	leak := goleak.IgnoreCurrent()
	o.Listen, o.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
	o.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	if o.TokenTime == 0 {
		o.TokenTime = 2 * time.Millisecond
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = 100000
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d, err := app.StartDev(ctx, o)
	assert.NilError(t, err)
	t.Cleanup(func() {
		d.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, leak)
	})
	return d
}

func client(d *app.Dev, token string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+d.Callers[0]+"/v1"), option.WithAPIKey(token), option.WithMaxRetries(0))
}

func chat(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: app.DevModel, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// answerTo returns the complete answer of the stand-in engines to a chat.
func answerTo(prompt string, tokens int) string {
	turns := []engine.Turn{{Role: "user", Content: prompt}}
	return standin.Answer(standin.ChatPrompt(turns), tokens)
}

func TestOpenAIClient(t *testing.T) {
	d := startDev(t, app.DevOptions{})
	c := client(d, app.DevDeskToken)

	t.Run("not streamed", func(t *testing.T) {
		got, err := c.Chat.Completions.New(t.Context(), chat("Is a seat free?", 12))
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, answerTo("Is a seat free?", 12))
		assert.Equal(t, got.Choices[0].FinishReason, "stop")
		assert.Equal(t, got.Usage.CompletionTokens, int64(12))
	})
	t.Run("stream", func(t *testing.T) {
		s := c.Chat.Completions.NewStreaming(t.Context(), chat("Is a seat free?", 20))
		var text strings.Builder
		chunks := 0
		for s.Next() {
			chunks++
			text.WriteString(s.Current().Choices[0].Delta.Content)
		}
		assert.NilError(t, s.Err())
		assert.Equal(t, text.String(), answerTo("Is a seat free?", 20))
		assert.Equal(t, chunks, 21)
	})
	t.Run("completion", func(t *testing.T) {
		got, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: app.DevModel, MaxTokens: openai.Int(4), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("log")},
		})
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Text, standin.Answer("log", 4))
	})
	t.Run("models", func(t *testing.T) {
		got, err := c.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, got.Data[0].ID, app.DevModel)
	})
	t.Run("error", func(t *testing.T) {
		p := chat("Is a seat free?", 4)
		p.Model = "none"
		_, err := c.Chat.Completions.New(t.Context(), p)
		var e *openai.Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.StatusCode, http.StatusNotFound)
		assert.Equal(t, e.Code, "unknown_model")
	})
	t.Run("bad token", func(t *testing.T) {
		bad := client(d, "nobody")
		_, err := bad.Chat.Completions.New(t.Context(), chat("Is a seat free?", 4))
		var e *openai.Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.StatusCode, http.StatusUnauthorized)
	})
	t.Run("cancel", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := c.Chat.Completions.NewStreaming(ctx, chat("Is a seat free, in a long answer?", 64))
		assert.Assert(t, s.Next())
		cancel()
		for s.Next() {
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if held := d.Held(); len(held) > 0 {
				return poll.Continue("engines still hold %v", held)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
	})
}
