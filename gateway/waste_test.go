package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWasteCause(t *testing.T) {
	disconnected, cancel := context.WithCancel(t.Context())
	cancel()
	late, stop := context.WithTimeout(t.Context(), 0)
	defer stop()
	tests := []struct {
		ctx   context.Context
		kind  resultKind
		begun bool
		want  string
	}{
		{disconnected, broken, true, "caller gone"},
		{late, broken, true, "deadline"},
		{t.Context(), broken, true, "engine lost"},
		{t.Context(), broken, false, "answer lost"},
		{t.Context(), notRun, false, "refused"},
		{t.Context(), notSent, false, "not reached"},
		{t.Context(), misdirected, false, "not reached"},
	}
	for _, tt := range tests {
		assert.Equal(t, wasteCause(tt.ctx, result{kind: tt.kind}, tt.begun), tt.want)
	}
}
