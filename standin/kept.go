package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

const (
	// KeptPath and platformKeptPath are where an engine lists the prompt parts that it keeps, in
	// ledgepin's protocol and in that of the users' platform.
	KeptPath         = "/kept"
	platformKeptPath = "/-/kv-list"
)

// PrefilledTokens returns the number of prompt tokens that the engine has prefilled.
func (b *Backend) PrefilledTokens() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readTokens
}

// DropKeptPrompts drops all kept prompts, as an engine does that needs the memory for others.
func (b *Backend) DropKeptPrompts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keptPrompts = nil
}

// keepPrompt keeps the prompt of a request and counts the tokens that had to be prefilled. If
// fetched is set, the KV cache came from another engine and nothing was prefilled.
func (b *Backend) keepPrompt(r *http.Request, fetched bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keptPrompts == nil {
		b.keptPrompts = map[string]int{}
	}
	cached := true
	for _, part := range strings.Split(r.Header.Get(b.headers.PromptParts), ",") {
		id, count, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil {
			return
		}
		cached = cached && b.keptPrompts[id] >= tokens
		if !cached && !fetched {
			b.readTokens += tokens
		}
		b.keptPrompts[id] = tokens
	}
}

// serveKept lists the prompt parts that the engine keeps.
func (b *Backend) serveKept(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list, held := []map[string]any{}, [][]any{}
	for id, tokens := range b.keptPrompts {
		list = append(list, map[string]any{"ID": id, "Tokens": tokens})
		held = append(held, []any{"", id, tokens, "m"})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"kept": list, "held": held, "epoch": 1, "nextPageToken": 0})
}
