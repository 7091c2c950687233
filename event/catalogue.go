package event

import "log/slog"

var catalogue []*Event

// Catalogue returns all events in the order of their definition.
func Catalogue() []*Event { return catalogue }

func define(id string, sev slog.Level, title, text, action string) *Event {
	e := &Event{ID: id, Title: title, Text: text, Action: action, Since: "0.1", Severity: sev}
	catalogue = append(catalogue, e)
	return e
}

const (
	info  = slog.LevelInfo
	warn  = slog.LevelWarn
	fail  = slog.LevelError
	debug = slog.LevelDebug
)

const noAction = "Nothing."

// The process.
var (
	Started = define("LP1001", info, "process started",
		"A role of the process has its listeners and links.", noAction)
	Draining = define("LP1002", info, "draining",
		"The process takes no new work and waits for the streams in progress.", noAction)
	Stopped = define("LP1003", info, "process stopped",
		"All streams have ended and the process leaves.", noAction)
	DrainTimeout = define("LP1004", warn, "drain took too long",
		"Streams were still open when the time for draining was over; they were cut.",
		"Raise drain_time, or look in the dump for callers that keep streams open.")
	ListenFailed = define("LP1005", fail, "listener failed",
		"A listener could not be opened or broke.", "Check that the address is free and belongs to the VM.")
)

// The settings file of the process.
var (
	Reloaded      = define("LP1007", info, "settings file read again", "The settings file has changed and is in force.", noAction)
	ReloadRefused = define("LP1008", warn, "settings file refused",
		"The settings file has changed and has a fault; the process goes on with what it had.", "Mend the file.")
)

// LogDropped is written by the log itself.
var LogDropped = define("LP1009", warn, "log lines left out",
	"The output of the log was not read fast enough; ordinary lines of whole requests were left out.",
	"Look at what reads the output; ledgepin_log_lines_dropped_total counts them.")

// BadConnection comes from the HTTP server itself.
var BadConnection = define("LP1006", info, "bad connection",
	"A connection broke before a request came over it, as by a TLS handshake with another CA or plain HTTP to a TLS listener.",
	"If it is one of yours, check its CA file and address.")

// Callers and operators.
var (
	RequestRefused = define("LP2001", info, "request refused",
		"A request was refused before any work; the code tells why.",
		"Many target_out_of_reach or queue_full refusals mean that the pools are too small.")
	RequestFailed = define("LP2002", warn, "request failed",
		"A request ran and has no whole answer.", "Run `ledgepin explain` with the request ID.")
	RequestDone        = define("LP2003", info, "request done", "A request got its whole answer.", noAction)
	CallerDisconnected = define("LP2004", info, "caller gone",
		"The caller closed its connection; its work was cancelled at the engines.", noAction)
	SlowCallerDisconnected = define("LP2005", warn, "caller cut off",
		"The caller read so slowly that its buffer filled up.", "Look at the caller's network.")
	UnknownToken = define("LP2006", warn, "token not known",
		"A caller, an operator or a peer came without a known token.",
		"If it is one of yours, check its token and the settings.")
	BadInput = define("LP2007", info, "bad input",
		"A request could not be read: malformed, too large or with unknown values.", noAction)
	SettingChanged = define("LP2008", info, "settings change accepted",
		"An operator's change of the settings is accepted.", noAction)
	SettingRefused = define("LP2009", info, "settings change refused",
		"An operator's change did not pass the checks or was based on an old revision.",
		"Get the newest revision and apply the change to it.")
)

// NoCapacity tells why a request of an engine's service found no place.
var NoCapacity = define("LP2011", info, "no place for a request",
	"No engine took a request. The rule that decided is named, and ruled counts the engines that each rule kept it from: leaving, blocked (failed lately), slots, memory now, memory (before the end of the runs), turn (room that another gateway's request is to have), late read (room, but the prompt would be read too late). read_ms is the least time in which the prompt would be read, queued the requests that wait at other gateways, waited_ms the time since it came; prefills and decodes are the sends that were turned away.",
	"Many by memory: the service needs more engines, or fewer that read prompts. Many by late read: it needs more of these.")

// OverLimit tells why a request was refused for the limit of its organisation.
var OverLimit = define("LP2017", info, "over the limit of an organisation",
	"A request was refused since its organisation has used its limit: rate and burst are the limit, used is what was counted of the room that it gives (the burst and a part of the slack), size what the request counts. told_ms is how long ago this gateway heard what the others have used; if it is cut_off, used and room are those of its own part.",
	"Raise the limit of the organisation, if that is what it is to have. Many with cut_off: look at the links to control.")

// HoldFailed tells that a decode engine set no room aside.
var HoldFailed = define("LP2013", info, "no room held",
	"A decode engine that was chosen has no free slot or memory (status 503), or could not be asked (error); another one is looked for before the prompt is read.",
	"Many with status 503: the decode engines are full.")

// RunMigrated tells that a run went on at another engine, or was to.
var RunMigrated = define("LP2014", info, "run migrated",
	"The run of a stream was to go on at another engine with its KV cache, since its own was almost full or leaves; the outcome tells whether it did.",
	"Many that stayed: the engines are full, or their links slow; the error tells.")

// StreamResumed tells that a stream that broke off is asked for anew.
var StreamResumed = define("LP2021", info, "stream goes on",
	"A stream broke off and is asked for anew after the last event that its caller has. last is the ID of that event, resumed tells that the caller had a part of the answer before this request, and moved how often the run had gone on at another engine with its KV cache.",
	"Many from one server: look at the server.")

// EventOutOfOrder tells that an engine sent an event that is not the one due.
var EventOutOfOrder = define("LP2022", warn, "event out of order",
	"An engine sent an event that its caller has (repeated), or left events out before it (missing). The caller does not get it. After a missing one the stream is taken up again after the last event, or cut where its route does not allow that. due is the number that was due, came the ID that came, last the last event that the caller has. One line for each stream of an engine; a metric counts the events.",
	"Many from one server: it continues streams at another event than it is asked for.")

// PrefillWasted is a prompt that was read and whose answer did not become whole.
var PrefillWasted = define("LP2015", info, "prompt read for nothing",
	"An engine read a prompt, and the run that it was for did not end well; the cause tells why.",
	"Many of `refused`: look at the decode engines. Many of `engine lost`: look at the engines that the line names.")

// CachedPromptsUnknown tells that an engine did not say which prompts it keeps.
var CachedPromptsUnknown = define("LP2016", info, "kept prompts not known",
	"An engine did not tell which prompts it keeps, so a request that comes again may be read there anew.",
	"Many at one engine: look at it. Many at all: lists take longer than they are waited for.")

// NoServer tells that a service has no server.
var NoServer = define("LP2012", info, "no server of a service is known",
	"No server of the service has reported itself, or all of them leave.", "Look at the servers, and at the links to control.")

// SendFailed is one send of a gateway to a backend server.
var SendFailed = define("LP2010", info, "send failed",
	"A gateway's request to a backend server was turned away, broke off or was too late; the kind tells which. pause_ms is how long the server still wanted no requests when it was chosen; it must be zero.",
	"Many from one server: look at the server.")

// ServerCrashed tells that a server was not there any more after a request had broken off.
var ServerCrashed = define("LP2018", warn, "server ended under a request",
	"A request broke off at a server, and the server was not there just after, or had started again. The content names what was asked: lines with the same content are the same request, also under other IDs and at other gateways. made is how many tokens of the answer there were.",
	"One content at several servers with made 0: the request itself may end them. Many contents at one server: it ended with all that it ran.")

// ContentBlocked tells that a content is refused from now on.
var ContentBlocked = define("LP2019", warn, "content blocked",
	"Three servers have ended under requests with this content, and it has not run to its end since. It is refused with 503 for ten minutes after the newest ending, at all gateways.",
	"Find the caller by the lines LP2018 with the same content, and what in its request ends the servers.")

// ServerRestarted tells that a server has started again under its name.
var ServerRestarted = define("LP2020", info, "server started again",
	"A later start of a server has reported itself, so the earlier one has ended with all that it had: its requests broke off, and its connections were closed.", noAction)

// ServerLimit tells what a server says of the requests that it takes.
var ServerLimit = define("LP2023", warn, "limit of a server",
	"A server names in its answers the requests a second that it takes from all gateways together (rate), or has ended that (ended). by tells whether this gateway was told by the server itself or by another process, sent is how many requests went from this gateway to the server while the limit held.",
	"A server in need: look at it. Many of one service: it needs more servers.")

// MemoryLimitReached tells that a request was refused for want of memory.
var MemoryLimitReached = define("LP2025", warn, "no memory for a request",
	"A gateway holds as much for its callers as the settings allow, and refused a request; held is in bytes, waits how often an answer had to wait for memory since the start. At most one line in ten seconds; a metric counts the requests.",
	"Look for callers who read slowly (LP2005). Else raise gateway.held, or give the gateway more memory.")

// ServerReportUnreadable tells that what a server says of itself can't be read.
var ServerReportUnreadable = define("LP2024", warn, "report of a server can't be read",
	"A field of an answer in which a server says something of itself has a value that can't be read, or two that differ: limit (requests a second), retry_after (seconds or a date), leaving (0 or 1), cold (milliseconds). What was known before holds. One line a minute for each server and field; a metric counts the answers.",
	"Look at the server.")

// ServerReport tells what a server says of itself in an answer.
var ServerReport = define("LP2026", info, "report of a server",
	"A server said in an answer that it wants no requests of this gateway for a time (field retry_after, pause_ms) or that it takes no new work (field leaving). age_ms is how long before its request was sent: the server said it since then.",
	"A server in need: look at it. Many of one service: it needs more servers.")

// ServerPauseEnded tells that a server gets requests again.
var ServerPauseEnded = define("LP2027", info, "pause of a server over",
	"The time is over for which a server wanted no requests of this gateway. It gets few at first, and more as it serves them.", noAction)

// Links between processes.
var (
	LinkUp   = define("LP3001", info, "link up", "A link to a peer process is open.", noAction)
	LinkDown = define("LP3002", warn, "link down",
		"A link to a peer process closed; it is opened again by itself.",
		"If it stays down, look at the peer's log and the network between the VMs.")
	BadPeer = define("LP3003", warn, "bad peer",
		"A peer sent a frame that breaks the protocol.",
		"Check that nothing else uses the address.")
	PeerRefused = define("LP3004", warn, "peer refused",
		"A process without the peer token tried to open a link.", "Check the token files.")
	NoCommonVersion = define("LP3005", warn, "versions apart",
		"A peer speaks no version of the protocol that this process speaks, so there is no link. It is told once for each peer and range; the link is tried again with pauses of up to 5 s.",
		"Replace the older of the two: builds go together with those of the two landings before them (docs/OPERATIONS.md, Upgrading).")
	UnknownFields = define("LP3006", info, "unknown fields",
		"A peer of a later build says a kind of message, or a field of one, that this build does not know. It was passed over; each link tells of each kind once.", noAction)
)

// Agents and engines.
var (
	EngineLost = define("LP4001", fail, "engine lost",
		"The engine beside the agent does not answer.", "Look at the engine; the agent goes on by itself when it is back.")
	EngineRecovered   = define("LP4002", info, "engine back", "The engine answers again.", noAction)
	CancelUnconfirmed = define("LP4003", warn, "cancel not confirmed",
		"The engine has not confirmed a cancel; it is repeated until it does.",
		"If it goes on, restart the engine: its slot stays in use.")
	LeaseExpired = define("LP4004", warn, "lease expired",
		"An entry was silent for longer than the lease; its work was cancelled.", "Look at the entry.")
	OrphanCancelled = define("LP4005", info, "orphan cancelled",
		"After a restart of the agent, the engine ran a request that no entry claimed.", noAction)
	ServerEjected = define("LP4006", warn, "server ejected",
		"A server failed several times in a row and gets only probes for a while.", "Look at the server.")
	ServerReportRefused = define("LP4013", warn, "report of a server refused",
		"What came as the report of a server is not used: it can't be read, is of an earlier start than the one that is known, or says of a start that is known what only another server can say. One line a minute for each server and reason.",
		"Look at what writes at the address. An earlier start whose server is up: its clock was set back between two starts; set it right and start the server again.")
	ServerLeaving = define("LP4007", info, "server leaving",
		"A backend server is leaving and gets no new work.", noAction)
	ServerBorrowed = define("LP4011", info, "server borrowed",
		"The entry's own availability zone is short of a model, so it uses a server of another one for a while.",
		"If it happens often, the zone's pool is too small.")
	OrderDone    = define("LP4008", info, "order carried out", "The engine has carried out an order of control.", noAction)
	OrderRefused = define("LP4009", warn, "order refused",
		"An order came with a fence that is too low, or before the fence was known.",
		"A cut-off control leader may still be sending; it stops by itself.")
	OrderFailed = define("LP4010", fail, "order failed", "The engine could not carry out an order.", "Look at the engine's log.")
)

// RoleOrdered is an order to an engine that gateways drive.
var RoleOrdered = define("LP4012", info, "engine ordered to another role",
	"The leader has ordered an engine to read prompts or to make answers; the line has the balance that led to it.",
	"Many of them: the load changes faster than engines can, or engines come and go.")

// Claims.
var (
	VoterRecovering = define("LP5001", info, "claim voter recovers",
		"A claim voter has started without memory and copies from its group before it votes.",
		"If it stays so, at least one other member of the group is out of reach.")
	VoterRecovered      = define("LP5002", info, "claim voter votes", "A claim voter has recovered and votes.", noAction)
	ClaimOutcomeUnknown = define("LP5003", warn, "outcome unknown",
		"A call that may not be repeated was sent and its answer is not known.",
		"Ask the service what became of the key.")
)

// Control and settings.
var (
	LeaderElected = define("LP6001", info, "leader elected", "This control replica is the leader.", noAction)
	LeaderLost    = define("LP6002", warn, "leadership ended",
		"This control replica leads no more: it lost its majority or saw a newer term.", noAction)
	JournalTorn = define("LP6003", warn, "torn tail cut",
		"The end of the journal was half written, as after a power cut; it was cut off.", noAction)
	JournalCorrupt = define("LP6004", fail, "journal broken",
		"The journal is damaged before its end; the replica does not start.",
		"Replace the replica: empty its data folder and give it a new name in the settings.")
	JournalFailed = define("LP6005", fail, "journal failed",
		"The disk refused a write or a sync; the replica gave up its vote.", "Replace the disk or make room, then restart.")
	JournalRecovered = define("LP6012", info, "journal back",
		"The disk takes writes again; the replica takes part with what the disk holds.", noAction)
	NewerDataFormat = define("LP6015", fail, "written by a newer build",
		"The replica holds what this build can't read. It has stopped and gave up its vote, and has changed nothing; it does not come back by itself.",
		"Run the newer build on this data. To go back for good, see OPERATIONS.md, Upgrading.")
	VersionRaised = define("LP6017", info, "the fleet's version has risen",
		"All members of control read the new version, and what came with it may be written from now on. Builds that do not read it are refused from now on, and refuse this replica's data.",
		noAction)
	IncompatibleReplica = define("LP6018", warn, "replica of another version refused",
		"A replica does not read what this one holds, so it gets nothing and is not heard. One line a minute for each replica.",
		"Run a build there that reads the fleet's version: ledgepin upgrade status.")
	ZoneEvacuated = define("LP6019", info, "evacuation of an availability zone",
		"An operator's order is in force here: the servers of the zone get no new work, or may get it again if finished is true. Requests under way there end as usual.",
		"Once the zone's requests have ended, ledgepin dump at its gateways shows none open; then it may be switched off.")
	TableDocumentUnreadable = define("LP6021", warn, "document of a table not readable",
		"The replica can't read the document that the newest table was made from, as when a newer build has taken it. Gateways get what the log has of it: regions and cold servers may be missing.",
		"Run the newer build here too.")
	ProcessSuspended = define("LP6020", warn, "the process stood still",
		"The process did nothing for ms milliseconds, as when its VM is suspended. It opens its links to control anew, and new requests wait for a moment until it has heard the newest settings and evacuations.",
		"Look at the VM if it was not suspended on purpose.")
	NewerPacketFormat = define("LP6016", warn, "packet of a newer build refused",
		"Another replica sent an entry or a snapshot that this build can't read; nothing of it was taken. One line a minute for each sender.",
		"Run the newer build here too.")
	StateRestored = define("LP6013", info, "known before",
		"The replica starts with what it knew before, of the file that is named: servers count as there for some seconds, unless they say otherwise.", noAction)
	StateFileFailed = define("LP6014", warn, "not kept beside the log",
		"What the replica knows of servers or of blocked contents could not be read or written; after a loss of power servers are known once they report themselves, and contents once gateways tell of them.",
		"Make room on the disk, or replace it.")
	SettingsInForce = define("LP6006", info, "settings in force", "A new revision of the settings is in force here.", noAction)
	InvalidSettings = define("LP6007", fail, "settings not usable",
		"Settings came that do not parse or have another hash.", "Check that all processes run versions that go together.")
	SettingsUnconfirmed = define("LP6008", warn, "settings unconfirmed",
		"The process acts on the settings of its site's peers, because control is out of reach.",
		"Restore the link to control; the site catches up by itself.")
	MembersChanged      = define("LP6009", info, "control members changed", "The membership of control has changed.", noAction)
	SnapshotTaken       = define("LP6010", debug, "snapshot taken", "The replicated log was cut after a snapshot.", noAction)
	PlatformUnreachable = define("LP6011", warn, "platform list out of reach",
		"The platform's list of VMs can't be read; the last one is used.", "Look at the platform.")
)
