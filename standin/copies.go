package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// CopyPath and platformCopyPath are where an engine copies a run's KV cache to another engine,
	// in ledgepin's protocol and in that of the users' platform.
	CopyPath         = "/copy"
	platformCopyPath = "/-/kv-move"
)

// copyPrefix begins the handles of copies.
const copyPrefix = "copy-"

// isRunCopy reports whether a KV cache is the copy of a run.
func isRunCopy(source string) bool {
	_, handle, _ := strings.Cut(source, "/")
	return strings.HasPrefix(handle, copyPrefix)
}

// copyRequest is a call for a copy in either protocol.
type copyRequest struct {
	ID            string `json:"id"`
	Target        string `json:"target"`
	TargetVersion string `json:"targetVersion"`
	Stop          bool   `json:"stop"`
	Last          bool   `json:"last"`
}

// RefuseCopies makes the engine refuse the copies for which refuse returns true, as if the target
// had no free memory; nil for none.
func (b *Backend) RefuseCopies(refuse func(stop bool) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuseCopies = refuse
}

// serveCopy copies a run and answers as the engine's behaviour requires.
func (b *Backend) serveCopy(w http.ResponseWriter, r *http.Request, body []byte) {
	var in copyRequest
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	in.Stop, in.Target = in.Stop || in.Last, in.Target+in.TargetVersion
	outcome, behaviour := CopyAnswered, b.currentBehaviour()
	if behaviour.CopyOutcome != nil {
		outcome = behaviour.CopyOutcome(in.ID, in.Stop)
	}
	if outcome == CopyDoneLate {
		time.Sleep(lateAnswerDelay)
	}
	status, answer := b.copyRun(in, behaviour.CopyTime)
	switch outcome {
	case CopyAnswerLost:
		reset(w)
		return
	case CopyAnswerLate:
		time.Sleep(lateAnswerDelay)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if behaviour.CloseAfterAnswer != nil && behaviour.CloseAfterAnswer(in.ID, in.Stop) {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
	fmt.Fprint(w, answer)
	if behaviour.DuplicateAnswer != nil && behaviour.DuplicateAnswer(in.ID, in.Stop) {
		duplicateAnswer(w, r, status, answer)
	}
	if outcome == CopyThenCrash {
		_ = http.NewResponseController(w).Flush()
		b.Crash()
	}
}

// copyRun copies a run and returns the status and body of the answer. With stop, the run ends
// first and its stream ends without a final event. Its KV cache then stays here under the handle
// of the copy, even if the target has no free memory.
func (b *Backend) copyRun(in copyRequest, copyTime time.Duration) (status int, answer string) {
	b.mu.Lock()
	r := b.find(in.ID)
	refused := b.refuseCopies != nil && b.refuseCopies(in.Stop)
	b.mu.Unlock()
	if r == nil {
		return http.StatusNotFound, ""
	}
	if !r.beginCopy() {
		return http.StatusConflict, ""
	}
	defer r.endCopy()
	if in.Stop && !r.stop() {
		return http.StatusNotFound, ""
	}
	if refused && !in.Stop {
		return http.StatusServiceUnavailable, ""
	}
	time.Sleep(copyTime)
	kv := KVCache{Request: in.ID, Events: r.lastEvent(), body: r.body, stopped: in.Stop}
	if !refused {
		kv.target = in.Target
	}
	handle := b.group.store(b.addr, fmt.Sprintf("%s%s-%d", copyPrefix, in.ID, r.key), kv)
	status = http.StatusOK
	if refused {
		status = http.StatusServiceUnavailable
	}
	return status, fmt.Sprintf(`{"handle":%q,"kvHandle":%q,"made":%d}`, handle, handle, kv.Events)
}

func isCopy(path string) bool {
	return path == CopyPath || strings.HasPrefix(path, platformCopyPath)
}
