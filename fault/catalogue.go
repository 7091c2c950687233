package fault

import "net/http"

// Code is a kind of error that a caller, an operator or a peer may receive.
type Code struct {
	// ID is the stable name that is sent on the wire.
	ID string
	// Text describes the meaning for the documentation.
	Text string
	// Since is the first version that uses the code.
	Since string
	// Status is the HTTP status of responses with this code.
	Status int
	// NotRun reports that no engine or service was asked to do the work.
	NotRun bool
}

var catalogue []*Code

func code(id string, status int, notRun bool, text string) *Code {
	c := &Code{ID: id, Text: text, Since: "0.1", Status: status, NotRun: notRun}
	catalogue = append(catalogue, c)
	return c
}

// Catalogue returns all codes in the order of their definition.
func Catalogue() []*Code { return catalogue }

// ByID returns the code with an ID, or Internal if there is none.
func ByID(id string) *Code {
	for _, c := range catalogue {
		if c.ID == id {
			return c
		}
	}
	return Internal
}

// Error codes.
var (
	Internal             = code("internal", http.StatusInternalServerError, false, "An internal error of ledgepin; it is not known whether the request ran.")
	Unauthorized         = code("unauthorized", http.StatusUnauthorized, true, "The bearer token is missing or unknown.")
	BadRequest           = code("bad_request", http.StatusBadRequest, true, "The request is not well-formed, or a value is out of range.")
	UnsupportedParameter = code("unsupported_parameter", http.StatusBadRequest, true, "The request uses a parameter that ledgepin does not support.")
	UnknownModel         = code("unknown_model", http.StatusNotFound, true, "No pool serves the model for this customer.")
	UnknownZone          = code("unknown_zone", http.StatusNotFound, true, "The deployment has no availability zone of that name.")
	UnknownService       = code("unknown_service", http.StatusNotFound, true, "The settings have no service of that name.")
	PromptTooLong        = code("prompt_too_long", http.StatusRequestEntityTooLarge, true, "The prompt or body exceeds the limit in force.")
	KeyRequired          = code("idempotency_key_required", http.StatusBadRequest, true, "The call may not be repeated, so it needs an Idempotency-Key.")
	KeyReused            = code("idempotency_key_reused", http.StatusUnprocessableEntity, true, "The Idempotency-Key was used for a request with another body.")
	QueueFull            = code("queue_full", http.StatusTooManyRequests, true, "The queue is full.")
	OverLimit            = code("over_limit", http.StatusTooManyRequests, true, "The customer has reached its limit of open requests.")
	TargetOutOfReach     = code("target_out_of_reach", http.StatusServiceUnavailable, true, "The time-to-first-token target of the class cannot be met now.")
	NoServer             = code("no_server", http.StatusServiceUnavailable, true, "No server for this model or service is reachable.")
	Draining             = code("draining", http.StatusServiceUnavailable, true, "This process is leaving and accepts no new work.")
	NotReady             = code("not_ready", http.StatusServiceUnavailable, true, "This process has no settings that it may act on yet.")
	ClaimNotWon          = code("claim_not_won", http.StatusServiceUnavailable, true, "The claim for the key won no majority; nothing was sent.")
	ClaimUnreached       = code("claim_unreached", http.StatusServiceUnavailable, false, "Too few voters answered; this attempt sent nothing, but an earlier one with the same key may have run. A retry with the same key is safe.")
	OutcomeUnknown       = code("outcome_unknown", http.StatusBadGateway, false, "The call was sent and its outcome is not known; it is never sent again by ledgepin.")
	InProgress           = code("in_progress", http.StatusConflict, false, "Another attempt with the same key holds the claim and has no answer yet.")
	Superseded           = code("superseded", http.StatusConflict, false, "A newer attempt with the same key took over; this one gives no further answer.")
	EngineLost           = code("engine_lost", http.StatusBadGateway, false, "The engines failed and the retry budget or the deadline is used up.")
	CallerGone           = code("caller_gone", 499, false, "The caller disconnected; its work was cancelled.")
	CallerSlow           = code("caller_slow", http.StatusRequestTimeout, false, "The caller read too slowly and was cut off.")
	ServiceFailed        = code("service_failed", http.StatusBadGateway, false, "The service could not be reached for a call that may be repeated.")
	StaleFence           = code("stale_fence", http.StatusConflict, true, "The order carries a lower fence than one already seen, or the agent has not received the fence yet.")
	BadPeer              = code("bad_peer", http.StatusBadRequest, true, "A peer sent a message that breaks the protocol.")
	VersionsApart        = code("versions_apart", http.StatusBadRequest, true, "The peer supports no protocol version that this process supports.")
	Conflict             = code("conflict", http.StatusConflict, true, "The change is based on a revision that is no longer the newest.")
	BadSettings          = code("bad_settings", http.StatusUnprocessableEntity, true, "The settings do not pass the checks; nothing was changed.")
	NotLeader            = code("not_leader", http.StatusServiceUnavailable, true, "This control replica cannot accept changes now; try another or wait.")
	ChangeOutcomeUnknown = code("change_outcome_unknown", http.StatusGatewayTimeout, false, "The change was proposed but not confirmed in time; send it again with the same change ID.")
	NotFound             = code("not_found", http.StatusNotFound, true, "The requested resource does not exist.")
	JournalBroken        = code("journal_broken", http.StatusInternalServerError, true, "The journal is damaged before its end; the replica does not start.")
	JournalNewer         = code("journal_newer", http.StatusInternalServerError, true, "The data was written by a newer build; the replica does not start, and changes nothing.")
	JournalFailed        = code("journal_failed", http.StatusInternalServerError, false, "A write or sync to the disk failed; the replica no longer votes.")
	LinkLost             = code("link_lost", http.StatusBadGateway, false, "The link to the peer closed.")
	FrameTooLong         = code("frame_too_long", http.StatusInternalServerError, true, "A message is longer than a frame between processes may be; it was not sent.")
	InvalidConfig        = code("invalid_config", http.StatusUnprocessableEntity, true, "The settings file of the process does not pass the checks.")
)
