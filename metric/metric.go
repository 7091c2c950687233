// Package metric defines the Prometheus metrics of a process.
//
// Label values come from the settings and the catalogues, never from callers, so the number
// of series is bounded. docs/METRICS.md is generated from the catalogue here.
package metric

import (
	"fmt"
	"io"

	"github.com/prometheus/client_golang/prometheus"
)

// Registry holds all metrics of the process.
var Registry = prometheus.NewRegistry()

// Entry describes a metric in the catalogue.
type Entry struct {
	Name, Kind, Help string
	Labels           []string
}

var catalogue []Entry

// Catalogue returns all metrics in the order of their definition.
func Catalogue() []Entry { return catalogue }

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	Registry.MustRegister(c)
	catalogue = append(catalogue, Entry{name, "counter", help, labels})
	return c
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
	Registry.MustRegister(g)
	catalogue = append(catalogue, Entry{name, "gauge", help, labels})
	return g
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
	Registry.MustRegister(h)
	catalogue = append(catalogue, Entry{name, "histogram", help, labels})
	return h
}

// Metrics of entries, agents, control and all processes.
var (
	ServerConnections = counter("ledgepin_server_connections_total",
		"Connections opened to backend servers, by cause: once (the request may run only once), no_id (the call has no ID), same_id (all idle connections have carried the ID, or calls whose late answers could be taken for this one), none_idle.", "cause")
	ServerRequests = counter("ledgepin_server_requests_total",
		"Requests and calls sent to backend servers, by kind (request, once, hold, copy, call) and connection: kept or new.", "kind", "connection")
	EvacuatedZones = gauge("ledgepin_evacuated_zones", "Availability zones whose servers get no new work.", "name")
	Requests       = counter("ledgepin_requests_total",
		"Requests by class and outcome: met (complete answer within both targets), late, or the code of the error.", "class", "outcome")
	FirstToken = histogram("ledgepin_first_token_seconds", "Time from arrival to the first token.",
		[]float64{.05, .1, .2, .33, .5, 1, 2, 5, 10, 30}, "class")
	BetweenTokens = histogram("ledgepin_between_tokens_seconds", "Mean time between the tokens of an answer.",
		[]float64{.01, .02, .04, .06, .075, .1, .2, .5, 1}, "class")
	PrefillTokens       = gauge("ledgepin_prefill_tokens", "Prefill work started since the start of the process, in tokens.", "name")
	WastedPrefillTokens = gauge("ledgepin_wasted_prefill_tokens", "Prefill work wasted since the start of the process, in tokens.", "name", "cause")
	QueuedRequests      = gauge("ledgepin_queue_requests", "Requests in the queue.", "name")
	OpenRequests        = gauge("ledgepin_open_requests", "Requests in progress.", "name")
	Retries             = gauge("ledgepin_retries", "Retries since the start of the process, allowed and denied by the budget.", "name", "verdict")
	Claims              = counter("ledgepin_claims_total", "Claims by verdict.", "verdict")
	Leases              = gauge("ledgepin_leases", "Slots of an agent that are leased.", "name", "state")
	Cancels             = counter("ledgepin_cancels_total", "Cancels sent to an engine and confirmed by it.", "name", "step")
	SettingsRevision    = gauge("ledgepin_settings_revision", "Revision of the settings in force; 0 if none.", "name")
	SettingsAge         = gauge("ledgepin_settings_age_seconds", "Time since the revision came into force.", "name")
	SettingsDegraded    = gauge("ledgepin_settings_degraded", "1 while control has not confirmed the settings.", "name")
	ControlLeader       = gauge("ledgepin_control_leader", "1 if this control replica is the leader and its lease is valid.", "name")
	ControlTerm         = gauge("ledgepin_control_term", "Term of this control replica.", "name")
	RoleWork            = gauge("ledgepin_role_work", "Engines that the arriving requests of a service keep busy (prefill) or fill (decode), including rejected requests, at the leader of control; 0 if gateways do not report it.", "service", "role")
	RoleEngines         = gauge("ledgepin_role_engines", "Engines of a service by role at the leader of control, those that are changing by their new one.", "service", "role")
	FleetVersion        = gauge("ledgepin_fleet_version", "Version of the fleet in force at this control replica.", "name")
	UnreadableData      = counter("ledgepin_unread_total", "Data of a newer build that a control replica could not read: its journal, a committed command, a packet.", "what")
	LinkBytes           = gauge("ledgepin_link_bytes", "Payload bytes on the open links of a process.", "name", "direction")
)

// Metrics of gateways, links and the log.
var (
	RouteRequests = counter("ledgepin_route_requests_total",
		"Requests of a gateway by route and outcome: the status of a server's answer, or the reason of a refusal.", "route", "outcome")
	RouteFirst = histogram("ledgepin_route_first_seconds", "Time from arrival to the first part of a server's answer.",
		[]float64{.02, .05, .1, .2, .3, .5, .9, 2, 5}, "route")
	RouteMaxGap = histogram("ledgepin_route_gap_seconds", "Longest time between two parts of a stream.",
		[]float64{.02, .05, .1, .2, .3, .5, 1, 2}, "route")
	RoutePrefill = histogram("ledgepin_route_prefill_seconds", "Time from arrival until the prompt has been read.",
		[]float64{.05, .1, .2, .3, .5, .9, 2}, "route")
	FailedSends             = counter("ledgepin_sends_total", "Failed requests of a gateway to backend servers, by kind.", "service", "kind")
	Migrations              = counter("ledgepin_migrations_total", "Runs to be migrated to another engine with their KV cache, by reason and outcome.", "service", "reason", "outcome")
	EventsOutOfOrder        = counter("ledgepin_stream_events_out_of_order_total", "Events of streams that engines sent out of order and that were not sent to callers, by verdict: repeated (the caller already has it) or missing (events before it were left out).", "service", "verdict")
	WastedPromptTokens      = counter("ledgepin_wasted_prompt_tokens_total", "Tokens of prompts that were read and whose answer was not completed, by cause.", "service", "cause")
	WaitingRequests         = gauge("ledgepin_waiting_requests", "Requests that wait for capacity at an engine, by urgency (the priorities of the organisation and of the route): at this gateway, and at others as control reports them.", "service", "organisation_priority", "route_priority", "where")
	Placements              = counter("ledgepin_placements_total", "Requests placed at an engine, by what waited at other gateways: nothing (none), only requests that come after it (first), or some that come before it (behind), since there was a slot for each or one remained unused.", "service", "waiting")
	CachedPromptTokens      = counter("ledgepin_kept_prompt_tokens_total", "Tokens of repeated prompts that were placed at an engine that has them cached.", "service")
	CallerConnectionsClosed = counter("ledgepin_caller_connections_closed_total", "Connections of callers that a gateway closed since too many were open: idle ones, or new ones before anything was read (new).", "cause")
	OwnCapacity             = gauge("ledgepin_own_capacity_bytes", "What a gateway's own link and processor can carry, in bytes a second received and sent, learned while work waited in them; 0 if there is no limit.", "name")
	OwnDelay                = gauge("ledgepin_own_delay_seconds", "How long work waits in a gateway's own link and processor, in and out together.", "name")
	HeldBytes               = gauge("ledgepin_held_bytes", "Bytes that a gateway buffers for callers: bodies, answers and streams.", "name")
	FullLevel               = gauge("ledgepin_full_level", "Mean share of an engine's memory up to which a gateway places runs, and above which runs migrate away.", "name", "service")
	MemoryRefusals          = counter("ledgepin_memory_refusals_total", "Requests that a gateway refused since its buffers for callers had reached their limit.", "route")
	HeadroomShare           = gauge("ledgepin_headroom_share", "Share of the memory of decode engines that new requests leave free for more urgent ones, by the priorities of their organisation and route.", "service", "organisation_priority", "priority")
	BlockedParts            = gauge("ledgepin_blocked_prompt_parts", "Parts of prompts that a gateway refuses since servers have ended under them.", "name")
	PartTrials              = counter("ledgepin_prompt_part_trials_total", "Requests that were let through to try a blocked part of prompts.", "service")
	PromotedRequests        = counter("ledgepin_promoted_requests_total", "Requests placed as if they were of the most urgent class, since requests like them were served less than half as often as all, by the priorities of their organisation and route.", "service", "organisation_priority", "route_priority")
	ResumedStreams          = counter("ledgepin_resumed_streams_total", "Requests for the rest of a stream, by how the software version that began it is known: own (recorded at this gateway), sole (the only version of the service), replica (recorded by control), unknown (the request was refused).", "route", "source")
	OpenStreams             = gauge("ledgepin_open_streams", "Streams in progress at a gateway, by the software version that generates them.", "service", "version")
	RetryTimes              = counter("ledgepin_retry_times_total", "Retry times that a gateway told callers who found no engine, by how they were chosen: in_time (capacity is expected within the objective), free (later), full (none is expected), usual (without regard to other callers).", "service", "choice")
	OrganisationRequests    = counter("ledgepin_organisation_requests_total",
		"Requests of an organisation with a limit at a gateway, by outcome: taken (accepted), beyond its share (waiting for capacity, since the organisation has its fair share), or over its limit.", "organisation", "outcome")
	LossEjectedEngines      = gauge("ledgepin_loss_ejected_engines", "Engines that a gateway sends nothing, or only probes, because they have lost answers.", "name")
	LimitedServers          = gauge("ledgepin_limited_servers", "Servers with a known limit of requests per second.", "name")
	ServerReports           = counter("ledgepin_server_reports_total", "Answers of any kind to a gateway in which a server reports something about itself, by field: limit, retry_after, leaving, cold.", "service", "field")
	UnreadableServerReports = counter("ledgepin_server_reports_unread_total", "Answers to a gateway in which a server reports something about itself that can't be read, by field.", "service", "field")
	RefusedServerReports    = counter("ledgepin_server_words_refused_total", "Reports about servers that are not used: unreadable, of an earlier incarnation, or of another server.", "reason")
	RefusedLinks            = counter("ledgepin_links_refused_total", "Links that were refused because of the first message of the peer, by side that opened it (dialled, accepted) and reason (versions_apart, bad_peer).", "side", "reason")
	UnknownFields           = counter("ledgepin_unknown_words_total", "Kinds of messages in which a link received a field that this build does not know, by kind: its name, or its number if the kind itself is unknown.", "kind")
	UnreadableFrames        = counter("ledgepin_unreadable_frames_total", "Frames of a link that were skipped because they could not be decoded or are longer than 16 MiB, by kind: its name, its number if the kind is unknown, or other.", "kind")
	OversizedFrames         = counter("ledgepin_oversized_frames_total", "Messages that were not sent because their frame is longer than 16 MiB, by kind.", "kind")
	ReplacedTexts           = counter("ledgepin_replaced_texts_total", "Texts in messages with bytes that are not UTF-8, which were replaced with question marks before the message was sent, by kind.", "kind")
	DroppedLogLines         = counter("ledgepin_log_lines_dropped_total", "Log lines dropped because the output was not read fast enough.")
)

// WriteMarkdown writes the catalogue as the page docs/METRICS.md.
func WriteMarkdown(w io.Writer) error {
	if _, err := fmt.Fprint(w, "# Metrics\n\nGenerated by `ledgepin events --metrics`; do not edit.\n\n| name | kind | labels | meaning |\n| --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, e := range catalogue {
		labels := ""
		for i, l := range e.Labels {
			if i > 0 {
				labels += ", "
			}
			labels += "`" + l + "`"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", e.Name, e.Kind, labels, e.Help); err != nil {
			return err
		}
	}
	return nil
}
