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

// Events of the process.
var (
	Started = define("LP1001", info, "process started",
		"A role of the process has opened its listeners and links.", noAction)
	Draining = define("LP1002", info, "draining",
		"The process accepts no new work and waits for the streams in progress.", noAction)
	Stopped = define("LP1003", info, "process stopped",
		"All streams have ended and the process exits.", noAction)
	DrainTimeout = define("LP1004", warn, "drain timed out",
		"Streams were still open when the time for draining was over; they were closed.",
		"Raise drain_time, or look in the dump for callers that keep streams open.")
	ListenFailed = define("LP1005", fail, "listener failed",
		"A listener could not be opened or failed.", "Check that the address is free and belongs to the VM.")
)

// Events of the settings file of the process.
var (
	Reloaded      = define("LP1007", info, "settings file reloaded", "The settings file has changed and its new contents are in force.", noAction)
	ReloadRefused = define("LP1008", warn, "settings file refused",
		"The settings file has changed and has an error; the process keeps the settings that it had.", "Correct the file.")
)

// LogDropped is logged when the queue of the log has dropped lines.
var LogDropped = define("LP1009", warn, "log lines dropped",
	"The output of the log was not read fast enough; ordinary lines were dropped, all lines of a request together.",
	"Check what reads the output; ledgepin_log_lines_dropped_total counts the lines.")

// BadConnection is logged for errors of the HTTP server that belong to no request.
var BadConnection = define("LP1006", info, "bad connection",
	"A connection failed before a request arrived on it, as by a TLS handshake with another CA or plain HTTP to a TLS listener.",
	"If the peer is one of yours, check its CA file and address.")

// Events of requests of callers and operators.
var (
	RequestRefused = define("LP2001", info, "request refused",
		"A request was refused before any work was done; the code gives the reason.",
		"Many target_out_of_reach or queue_full refusals mean that the pools are too small.")
	RequestFailed = define("LP2002", warn, "request failed",
		"A request ran but has no complete answer.", "Run `ledgepin explain` with the request ID.")
	RequestDone        = define("LP2003", info, "request done", "A request got its complete answer.", noAction)
	CallerDisconnected = define("LP2004", info, "caller disconnected",
		"The caller closed its connection; its work was cancelled at the engines.", noAction)
	SlowCallerDisconnected = define("LP2005", warn, "slow caller disconnected",
		"The caller read so slowly that its buffer filled up, and its answer was cut off.", "Check the caller's network.")
	UnknownToken = define("LP2006", warn, "unknown token",
		"A caller, an operator or a peer sent no known token.",
		"If it is one of yours, check its token and the settings.")
	BadInput = define("LP2007", info, "bad input",
		"A request could not be read: it is malformed, too large or has unknown values.", noAction)
	SettingChanged = define("LP2008", info, "settings change accepted",
		"An operator's change of the settings was accepted.", noAction)
	SettingRefused = define("LP2009", info, "settings change refused",
		"An operator's change failed the checks or was based on an old revision.",
		"Get the newest revision and apply the change to it.")
)

// NoCapacity is logged when no engine of a service accepts a request, with the reason.
var NoCapacity = define("LP2011", info, "no place for a request",
	"No engine accepted a request. The deciding rule is named, and ruled counts the engines that each rule excluded: version (another software version than the one that began the stream), leaving, blocked (failed recently), slots, memory now, memory (before the end of the runs), headroom (capacity, but it is left free for more urgent requests), turn (capacity for requests that come before it at other gateways), late read (capacity, but the prompt would be read too late). level is the mean share of an engine's memory that runs may fill now, read_ms the shortest time in which the prompt would be read, queued the requests that wait at other gateways. Of these, ahead come before this one (they are more urgent, or their turn is earlier; unknown of them wait at gateways of an older build, which report no urgency) and behind after it; organisation_priority and route_priority are its urgency. waited_ms is the time since the request arrived; prefills and decodes count the sends that were rejected. retry tells by what the caller's retry time was chosen: in_time (capacity is expected within its objective), free (capacity is expected later), full (none is expected), usual (the requests of the service do not differ in urgency, or no run has ended yet).",
	"Many by memory: the service needs more engines, or fewer that read prompts. Many by late read: it needs more that read prompts. Many of urgent requests with ahead of zero: the engines are full of runs, whatever their urgency. Many by headroom: less urgent requests are rejected for the sake of more urgent ones; ledgepin_headroom_share is the share left free.")

// OverLimit is logged when a request exceeds the limit of its organisation.
var OverLimit = define("LP2017", info, "over the limit of an organisation",
	"A request was refused since its organisation has used its limit: rate and burst are the limit, used is the usage counted against room (the burst and a share of the slack), size what the request counts. told_ms is the age of the last report about the usage at other gateways; if cut_off is true, used and room are those of this gateway's own share.",
	"Raise the limit of the organisation if it is too low. Many with cut_off: check the links to control.")

// HoldFailed is logged when a decode engine reserves no slot and memory for a request.
var HoldFailed = define("LP2013", info, "no room held",
	"A decode engine that was chosen has no free slot or memory (status 503), or could not be reached (error); another one is chosen before the prompt is read.",
	"Many with status 503: the decode engines are full.")

// RunMigrated is logged for each attempt to migrate a run to another engine.
var RunMigrated = define("LP2014", info, "run migrated",
	"The run of a stream was to continue at another engine with its KV cache, since its own engine was almost full or is leaving; the outcome says whether it did.",
	"Many with outcome stayed: the engines are full, or their links slow; the error says which.")

// StreamResumed is logged when a stream that broke off is requested again.
var StreamResumed = define("LP2021", info, "stream resumed",
	"A stream broke off and is requested again from after the last event that its caller has. last is the ID of that event, resumed says that the caller had a part of the answer before this request, and moved counts how often the run continued at another engine with its KV cache. version is the software version of the server that sent the events so far.",
	"Many from one server: check the server.")

// StreamOrigin is logged when a caller asks for the rest of a stream that an earlier attempt began.
var StreamOrigin = define("LP2028", info, "origin of a stream",
	"A caller asks for the rest of a stream. It continues only at the software version that began it; resumes is the attempt that the caller names. source tells how service and version are known: own (this gateway has recorded the attempt), sole (all servers of the service have had this version recently), replica (a control replica has it recorded), unknown. refused is the reason why the request was refused; empty if it was not.",
	"Many of unknown while servers of a service are replaced by another version: look for gateways that ended, or that have no link to control.")

// SoftwareVersions is logged when a gateway learns of a further version.
var SoftwareVersions = define("LP2029", info, "software versions",
	"The servers of a service have more than one software version, or had recently. Streams continue at the version that began them.", noAction)

// EventOutOfOrder is logged when an engine sends an event of a stream other than the expected one.
var EventOutOfOrder = define("LP2022", warn, "event out of order",
	"An engine sent an event that its caller already has (repeated), or left out events before it (missing). The caller does not get it. After missing events the stream is requested again from after the last event, or cut off where its route does not allow that. due is the number that was expected, came the ID that was received, last the last event that the caller has. One line for each stream of an engine; a metric counts the events.",
	"Many from one server: it resumes streams at another event than it is asked for.")

// PrefillWasted is logged when a prompt was prefilled but its answer was not completed.
var PrefillWasted = define("LP2015", info, "prompt read for nothing",
	"An engine read a prompt, and the run that needed it did not end well; the cause gives the reason.",
	"Many of `refused`: check the decode engines. Many of `engine lost`: check the engines that the line names.")

// CachedPromptsUnknown is logged when an engine did not report which prompts it has cached.
var CachedPromptsUnknown = define("LP2016", info, "cached prompts unknown",
	"An engine did not report which prompts it has cached, so it may read the prompt of a repeated request again.",
	"Many at one engine: check it. Many at all engines: the lists arrive after their timeout.")

// NoServer is logged when a service has no server.
var NoServer = define("LP2012", info, "no server of a service is known",
	"No server of the service has reported itself, or all of them are leaving.", "Check the servers and the links to control.")

// SendFailed is logged when a gateway's request to a backend server fails.
var SendFailed = define("LP2010", info, "send failed",
	"A gateway's request to a backend server was rejected, broke off or took too long; the kind says which. pause_ms is the remaining time for which the server had asked for no requests when it was chosen; it must be zero. own_delay_ms is how long work waited in the gateway itself; if it is long, a late answer says nothing about the server.",
	"Many from one server: check the server.")

// ServerCrashed is logged when a server is unreachable or has restarted after a request broke off.
var ServerCrashed = define("LP2018", warn, "server ended under a request",
	"A request broke off at a server, and just after that the server was not reachable or had restarted. The content identifies the request: lines with the same content are about the same request, also under other IDs and at other gateways. made is the number of tokens of the answer that were generated, ran_ms the time since the request was sent to the server. parts are the first parts of the prompt that other prompts may share, each by its digest.",
	"One content at several servers with made 0: the request itself may crash them. One part in a line with made 0 for each of several servers: what has that part may crash them. Many contents at one server: it crashed with all that it ran.")

// ContentBlocked is logged when a request content becomes blocked: requests with it are refused.
var ContentBlocked = define("LP2019", warn, "content blocked",
	"Three servers have crashed while they ran requests with this content, and it has not completed since. It is refused with 503 at all gateways for ten minutes after the last crash.",
	"Find the caller by the lines LP2018 with the same content, and what in its request crashes the servers.")

// PartBlocked is logged when a part of prompts becomes blocked, or has ended another server.
var PartBlocked = define("LP2030", warn, "prompt part blocked",
	"Servers have ended one after the other (endings of servers in all) under runs that had just begun and had this part of their prompts in common, and no run with it has gone on since. Prompts that have it and the parts in with are refused with 503 at all gateways. After trial_ms single requests try it again.",
	"Find the requests by the lines LP2018 with the same part, and what in that part of the prompt crashes the servers.")

// PartUnblocked is logged when a part of prompts is no longer blocked.
var PartUnblocked = define("LP2031", info, "prompt part no longer blocked",
	"A run with the part has gone on at a server, so that it is cleared of the servers that ended before; or another part explains these, or they are too long ago.", noAction)

// PartTried is logged when a request is let through to try a blocked part of prompts.
var PartTried = define("LP2032", info, "blocked prompt part tried",
	"The time for a trial of a blocked part has come, and one request with it is served. If the run goes on, the part is no longer blocked; if the server ends, it is blocked for longer.", noAction)

// ServerRestarted is logged when a server has restarted under the same name.
var ServerRestarted = define("LP2020", info, "server restarted",
	"A later incarnation of a server has reported itself, so the earlier one has ended with all its state: its requests broke off, and its connections were closed.", noAction)

// ServerLimit is logged when a server reports a limit of requests per second, or lifts it.
var ServerLimit = define("LP2023", warn, "limit of a server",
	"A server reports in its answers the requests per second that it accepts from all gateways together (rate), or has ended that limit (ended). by says whether this gateway received it from the server itself or from another process, sent is the number of requests that this gateway sent to the server while the limit was in force.",
	"One server: it is overloaded; check it. Many of one service: the service needs more servers.")

// GatewaySlow is logged when work begins to wait in a gateway itself, and when it no longer does.
var GatewaySlow = define("LP2033", warn, "the gateway itself is slow",
	"Work waits in this gateway's own link or processor for delay_ms, in and out together, since it gets more than it can carry; or no longer, if slow is false. It is measured by the connections that it opens to servers, which are all slow at once, and by its timers. While it is known what the gateway can carry (capacity, in bytes a second), it refuses what is beyond that.",
	"Look at the load of the VM and of its link, and at how connections are spread over gateways. If all gateways are slow, add some.")

// MemoryLimitReached is logged when a gateway refuses a request to limit its memory.
var MemoryLimitReached = define("LP2025", warn, "memory limit reached",
	"A gateway holds as many bytes for its callers as the settings allow, and refused a request; held is in bytes, waits how often an answer had to wait for memory since the start of the process. At most one line in ten seconds; a metric counts the requests.",
	"Look for callers who read slowly (LP2005). Otherwise raise gateway.held, or give the gateway more memory.")

// ServerReportUnreadable is logged when what a server reports about itself can't be read.
var ServerReportUnreadable = define("LP2024", warn, "unreadable report of a server",
	"A field of an answer in which a server reports something about itself has an invalid value, or two that differ: limit (requests a second), retry_after (seconds or a date), leaving (0 or 1), cold (milliseconds). The previous value stays in force. One line a minute for each server and field; a metric counts the answers.",
	"Check the server.")

// ServerReport is logged when a server reports in an answer that it accepts no requests.
var ServerReport = define("LP2026", info, "report of a server",
	"A server reported in an answer that it accepts no requests of this gateway for a time (field retry_after, pause_ms) or that it accepts no new work (field leaving). age_ms is the time since the request that the report answers was sent, the maximum age of the report.",
	"One server: it is overloaded; check it. Many of one service: the service needs more servers.")

// ServerPauseEnded is logged when a server gets requests again.
var ServerPauseEnded = define("LP2027", info, "pause of a server ended",
	"The time is over for which a server had asked for no requests of this gateway. It gets few at first, and more as it serves them.", noAction)

// Events of links between processes.
var (
	LinkUp   = define("LP3001", info, "link up", "A link to a peer process is open.", noAction)
	LinkDown = define("LP3002", warn, "link down",
		"A link to a peer process closed; it is opened again automatically.",
		"If it stays down, check the peer's log and the network between the VMs.")
	BadPeer = define("LP3003", warn, "bad peer",
		"A peer sent a frame that violates the protocol.",
		"Check that nothing else uses the address.")
	PeerRefused = define("LP3004", warn, "peer refused",
		"A process without the peer token tried to open a link.", "Check the token files.")
	NoCommonVersion = define("LP3005", warn, "no common protocol version",
		"A peer and this process have no version of the protocol in common, so there is no link. One line for each peer and range; the link is tried again with pauses of up to 5 s.",
		"Replace the older of the two: a build works with those of the two landings before it (docs/OPERATIONS.md, Upgrading).")
	UnknownFields = define("LP3006", info, "unknown fields",
		"A peer of a later build sent a kind of message, or a field of one, that this build does not know. It was ignored; each link logs each kind once.", noAction)
	UnreadableFrame = define("LP3007", warn, "unreadable frame",
		"A peer sent a frame that can't be decoded or is longer than 16 MiB. It was skipped, and the link stays open; each link logs each kind of message once.",
		"Compare the builds of the two processes; if they are the same, report the peer's log.")
	OversizedFrame = define("LP3008", fail, "message too long",
		"A message is longer than 16 MiB when encoded and was not sent; each link logs each kind once.",
		"Find out what is that long: many servers that report, or a large configuration.")
)

// Events of agents and engines.
var (
	EngineLost = define("LP4001", fail, "engine lost",
		"The engine beside the agent does not answer.", "Check the engine; the agent continues automatically when it answers again.")
	EngineRecovered   = define("LP4002", info, "engine recovered", "The engine answers again.", noAction)
	CancelUnconfirmed = define("LP4003", warn, "cancel not confirmed",
		"The engine has not confirmed a cancel; it is repeated until it does.",
		"If it goes on, restart the engine: its slot stays in use.")
	LeaseExpired = define("LP4004", warn, "lease expired",
		"An entry sent nothing for longer than the lease; its work was cancelled.", "Check the entry.")
	OrphanCancelled = define("LP4005", info, "orphan cancelled",
		"After a restart of the agent, the engine ran a request that no entry claimed.", noAction)
	ServerEjected = define("LP4006", warn, "server ejected",
		"A server failed several times in a row and gets only probes for a while.", "Check the server.")
	ServerReportRefused = define("LP4013", warn, "report of a server refused",
		"Data received as the report of a server is not used: it can't be read, is of an earlier incarnation than the known one, or states of a known incarnation what only another server can. One line a minute for each server and reason.",
		"Check what writes at the address. An earlier incarnation whose server is up: its clock was set back between two starts; correct the clock and restart the server.")
	EngineEjected = define("LP4014", warn, "engine ejected",
		"An engine lost answers, lost of them in the last seconds at all gateways, because of its connection or its process. It gets no new work for ms milliseconds, twice as long as before if it has lost a probe, and then one probe at a time.",
		"Check why the engine's process ends or its connections are reset.")
	EngineProbed = define("LP4015", info, "probe sent to an engine",
		"This gateway sent a request to an engine that was ejected because it had lost answers.", noAction)
	EngineBack = define("LP4016", info, "engine back",
		"The probe at an engine that was ejected because it had lost answers went well; the engine is used as before.", noAction)
	ServerLeaving = define("LP4007", info, "server leaving",
		"A backend server is leaving and gets no new work.", noAction)
	ServerBorrowed = define("LP4011", info, "server borrowed",
		"The entry's own availability zone has too few servers of a model, so it uses a server of another zone for a while.",
		"If it happens often, the zone's pool is too small.")
	OrderDone    = define("LP4008", info, "order carried out", "The engine has carried out an order of control.", noAction)
	OrderRefused = define("LP4009", warn, "order refused",
		"An order arrived with a fence that is too low, or before the fence was known.",
		"A partitioned control leader may still be sending; it stops by itself.")
	OrderFailed = define("LP4010", fail, "order failed", "The engine could not carry out an order.", "Check the engine's log.")
)

// RoleOrdered is logged when the leader orders an engine without an agent to change its role.
var RoleOrdered = define("LP4012", info, "engine ordered to another role",
	"The leader has ordered an engine to read prompts or to generate answers; the line has the balance that led to it: the engines that the arriving requests need for each role (prefill_work, decode_work), or, if both are 0, how busy the engines are (prefill_use, decode_use).",
	"Many of them: the load changes faster than engines can, or engines join and leave often.")

// Events of claims.
var (
	VoterRecovering = define("LP5001", info, "claim voter recovers",
		"A claim voter has started without its state and copies it from its group before it votes.",
		"If this lasts, at least one other member of the group is unreachable.")
	VoterRecovered      = define("LP5002", info, "claim voter recovered", "A claim voter has recovered and votes.", noAction)
	ClaimOutcomeUnknown = define("LP5003", warn, "outcome unknown",
		"A call that may not be repeated was sent and its outcome is unknown.",
		"Check at the service what became of the key.")
)

// Events of control and of the settings tree.
var (
	LeaderElected = define("LP6001", info, "leader elected", "This control replica is the leader.", noAction)
	LeaderLost    = define("LP6002", warn, "leadership ended",
		"This control replica is no longer the leader: it lost its majority or saw a newer term.", noAction)
	JournalTorn = define("LP6003", warn, "torn tail truncated",
		"The end of the journal was incompletely written, as after a power failure; it was truncated.", noAction)
	JournalCorrupt = define("LP6004", fail, "journal corrupt",
		"The journal is damaged before its end; the replica does not start.",
		"Replace the replica: empty its data folder and give it a new name in the settings.")
	JournalFailed = define("LP6005", fail, "journal failed",
		"The disk refused a write or a sync; the replica gave up its vote.", "Replace the disk or free space on it, then restart.")
	JournalRecovered = define("LP6012", info, "journal recovered",
		"The disk accepts writes again; the replica takes part with the state on the disk.", noAction)
	VotesLost = define("LP6023", warn, "record of votes lost",
		"The data folder lacks the identity of the replica or the record of its votes, as when a part of its files was lost. The replica joins under the new identity id; old is the one that it had.",
		"Look at the disk. If no group forms since a majority has lost its votes, see OPERATIONS.md, Replacing a control VM.")
	NewerDataFormat = define("LP6015", fail, "written by a newer build",
		"The replica holds data that this build can't read. It has stopped, has given up its vote and has changed nothing; it does not recover by itself.",
		"Run the newer build on this data. To go back permanently, see OPERATIONS.md, Upgrading.")
	VersionRaised = define("LP6017", info, "version of the fleet raised",
		"All members of control read the new version, and data of that version may be written from now on. Builds that do not read it are refused from now on, and refuse this replica's data.",
		noAction)
	IncompatibleReplica = define("LP6018", warn, "incompatible replica refused",
		"A replica does not read the data of this one, so this one sends it nothing and ignores what it sends. One line a minute for each replica.",
		"Run a build there that reads the fleet's version: ledgepin upgrade status.")
	ZoneEvacuated = define("LP6019", info, "evacuation of an availability zone",
		"An operator's order is in force here: the servers of the zone get no new work, or may get it again if finished is true. Requests in progress there end as usual.",
		"Once the zone's requests have ended, ledgepin dump at its gateways shows none open; then it may be switched off.")
	TableDocumentUnreadable = define("LP6021", warn, "document of a table unreadable",
		"The replica can't read the document that the newest table was made from, as when a newer build has accepted it. Gateways get what the log has of it: regions and cold servers may be missing.",
		"Run the newer build here too.")
	ProcessSuspended = define("LP6020", warn, "process was suspended",
		"The process did not run for ms milliseconds, as when its VM is suspended. It opens its links to control again, and new requests wait until it has received the newest settings and evacuations.",
		"Check the VM if it was not suspended on purpose.")
	NoTableYet = define("LP6022", warn, "no table yet",
		"The gateway has started and has no table. replicas has, for each replica of control, how long its link has been open or dialed, and what it has sent about the table: a gateway needs a table, and a replica's confirmation that it is the newest.",
		"If no link is open, look at the replicas and the network; if no replica confirms, at the election of their leader (LP6001).")
	NewerPacketFormat = define("LP6016", warn, "packet of a newer build refused",
		"Another replica sent an entry or a snapshot that this build can't read; it was discarded as a whole. One line a minute for each sender.",
		"Run the newer build here too.")
	StateRestored = define("LP6013", info, "state restored",
		"The replica starts with the state of its previous run from the named file: servers count as present for some seconds, unless they report otherwise.", noAction)
	StateFileFailed = define("LP6014", warn, "state file failed",
		"The replica's state about servers or blocked contents could not be read or written; after a power failure, servers are known once they report themselves, and contents once gateways report them.",
		"Free space on the disk, or replace it.")
	SettingsInForce = define("LP6006", info, "settings in force", "A new revision of the settings is in force here.", noAction)
	InvalidSettings = define("LP6007", fail, "invalid settings",
		"Settings were received that do not parse or have another hash.", "Check that all processes run compatible versions.")
	SettingsUnconfirmed = define("LP6008", warn, "settings unconfirmed",
		"The process uses the settings of its site's peers, because control is unreachable.",
		"Restore the link to control; the site catches up automatically.")
	MembersChanged      = define("LP6009", info, "control members changed", "The membership of control has changed.", noAction)
	SnapshotTaken       = define("LP6010", debug, "snapshot taken", "The replicated log was truncated after a snapshot.", noAction)
	PlatformUnreachable = define("LP6011", warn, "platform list unreachable",
		"The platform's list of VMs can't be read; the last one is used.", "Check the platform.")
)
