package wire

import (
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/consensus"
	"github.com/ledgepin/ledgepin/demand"
	"github.com/ledgepin/ledgepin/engine"
	"github.com/ledgepin/ledgepin/fleet"
	"github.com/ledgepin/ledgepin/lease"
	"github.com/ledgepin/ledgepin/order"
	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/poison"
	"github.com/ledgepin/ledgepin/quota"
	"github.com/ledgepin/ledgepin/registry"
	"github.com/ledgepin/ledgepin/route"
	"github.com/ledgepin/ledgepin/settings"
)

// Message is one frame. Exactly one field is set.
type Message struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`

	Reserve   *Reserve   `cbor:"3,keyasint,omitempty"`
	Reserved  *Reserved  `cbor:"4,keyasint,omitempty"`
	Prefill   *Prefill   `cbor:"5,keyasint,omitempty"`
	Prefilled *Prefilled `cbor:"6,keyasint,omitempty"`
	Decode    *Decode    `cbor:"7,keyasint,omitempty"`
	Imported  *Imported  `cbor:"8,keyasint,omitempty"`
	Chunk     *Chunk     `cbor:"9,keyasint,omitempty"`
	Failed    *Failed    `cbor:"10,keyasint,omitempty"`
	Cancel    *Cancel    `cbor:"11,keyasint,omitempty"`

	Settings *Settings `cbor:"12,keyasint,omitempty"`
	Pull     *Pull     `cbor:"13,keyasint,omitempty"`

	Grant   *claim.VoteRequest `cbor:"14,keyasint,omitempty"`
	Granted *claim.Vote        `cbor:"15,keyasint,omitempty"`
	Record  *claim.Record      `cbor:"16,keyasint,omitempty"`
	Copy    *claim.CopyRequest `cbor:"17,keyasint,omitempty"`
	Copied  *claim.CopyReply   `cbor:"18,keyasint,omitempty"`
	Call    *Call              `cbor:"19,keyasint,omitempty"`
	Answer  *Answer            `cbor:"20,keyasint,omitempty"`

	Order   *order.Order      `cbor:"21,keyasint,omitempty"`
	Ordered *order.Result     `cbor:"22,keyasint,omitempty"`
	Raft    *consensus.Packet `cbor:"23,keyasint,omitempty"`
	Summary *Summary          `cbor:"24,keyasint,omitempty"`
	Resume  *Resume           `cbor:"25,keyasint,omitempty"`
	Leaving *Leaving          `cbor:"26,keyasint,omitempty"`
	Zones   *Zones            `cbor:"27,keyasint,omitempty"`
	Shares  *Shares           `cbor:"28,keyasint,omitempty"`
	Lent    *Lent             `cbor:"29,keyasint,omitempty"`

	Register   *Register   `cbor:"30,keyasint,omitempty"`
	Superseded *Superseded `cbor:"31,keyasint,omitempty"`
	Registered *Registered `cbor:"36,keyasint,omitempty"`
	Recorded   *Recorded   `cbor:"37,keyasint,omitempty"`

	Routes   *Routes            `cbor:"32,keyasint,omitempty"`
	Servers  *Servers           `cbor:"33,keyasint,omitempty"`
	Replicas *Replicas          `cbor:"34,keyasint,omitempty"`
	Loads    *Loads             `cbor:"35,keyasint,omitempty"`
	Use      *quota.UsageUpdate `cbor:"38,keyasint,omitempty"`
	// Contents are the request contents that were running when servers ended.
	Contents []poison.Record `cbor:"39,keyasint,omitempty"`

	Evacuated *Evacuated  `cbor:"40,keyasint,omitempty"`
	Cold      []ColdLease `cbor:"41,keyasint,omitempty"`
	Limits    *Limits     `cbor:"42,keyasint,omitempty"`
	Origins   *Origins    `cbor:"43,keyasint,omitempty"`
	// Survivals clear parts of prompts of the endings of servers.
	Survivals []poison.Survival `cbor:"44,keyasint,omitempty"`
}

// Heartbeat keeps the link alive and renews the leases of the link's owner.
type Heartbeat struct {
	Revision uint64          `cbor:"1,keyasint"`
	Load     *placement.Load `cbor:"2,keyasint,omitempty"`
	// Assets and Role are what the engine has loaded and the role that it serves; they
	// are sent only when a link opens and when they change.
	Assets []string `cbor:"3,keyasint,omitempty"`
	Role   string   `cbor:"4,keyasint,omitempty"`
	// Told reports that Assets and Role are set, though they may be empty.
	Told bool `cbor:"5,keyasint,omitempty"`
	// Software is the version of the engine's software, sent with Assets and Role.
	Software string `cbor:"6,keyasint,omitempty"`
}

// Reserve requests a slot from an agent, which answers at once.
type Reserve struct {
	lease.ID
	Model    string `cbor:"3,keyasint"`
	Priority int    `cbor:"4,keyasint"`
	// Tokens is the prefill work that the slot is for; zero for decode.
	Tokens int `cbor:"5,keyasint,omitempty"`
	// Hold is the time for which the slot is kept for its work.
	Hold time.Duration `cbor:"6,keyasint"`
	// Keep lets the work continue after its caller has disconnected.
	Keep bool `cbor:"7,keyasint,omitempty"`
}

// Reserved answers a Reserve.
type Reserved struct {
	lease.ID
	OK     bool           `cbor:"3,keyasint"`
	Reason string         `cbor:"4,keyasint,omitempty"`
	Load   placement.Load `cbor:"5,keyasint"`
}

// Prefill starts a reserved prefill.
type Prefill struct {
	lease.ID
	Request engine.Request `cbor:"3,keyasint"`
}

// Prefilled reports that the KV cache can be fetched.
type Prefilled struct {
	lease.ID
	KV     engine.KV      `cbor:"3,keyasint"`
	Cached int            `cbor:"4,keyasint"`
	Took   time.Duration  `cbor:"5,keyasint"`
	Load   placement.Load `cbor:"6,keyasint"`
}

// Decode starts a reserved decode.
type Decode struct {
	lease.ID
	Request engine.Request `cbor:"3,keyasint"`
	KV      engine.KV      `cbor:"4,keyasint"`
	// From is the index of the first token to send.
	From int `cbor:"5,keyasint"`
}

// Imported reports that the decode engine has imported the KV cache.
type Imported struct {
	lease.ID
	Took time.Duration `cbor:"3,keyasint"`
}

// Chunk is one chunk of an answer.
type Chunk struct {
	lease.ID
	engine.Chunk
}

// Resume asks an agent, over a new link, for the state of an attempt: the
// chunks from an index on, or the result of its prefill.
type Resume struct {
	lease.ID
	From   int  `cbor:"3,keyasint"`
	Decode bool `cbor:"4,keyasint,omitempty"`
	Keep   bool `cbor:"5,keyasint,omitempty"`
}

// Failed reports that an attempt ended without its result.
type Failed struct {
	lease.ID
	Step   string `cbor:"3,keyasint"`
	Code   string `cbor:"4,keyasint"`
	Detail string `cbor:"5,keyasint"`
	// Server reports that the server itself failed.
	Server bool `cbor:"6,keyasint,omitempty"`
}

// Cancel frees all that the attempt occupies at this agent.
type Cancel struct {
	lease.ID
}

// Settings carries a settings tree, either complete or as a delta to the revision that
// the receiver has.
type Settings struct {
	Revision uint64          `cbor:"1,keyasint"`
	Sum      settings.Sum    `cbor:"2,keyasint"`
	Delta    *settings.Delta `cbor:"3,keyasint,omitempty"`
	Whole    []byte          `cbor:"4,keyasint,omitempty"`
	// Confirmed reports that control confirmed the revision under a live lease.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
}

// Pull requests the newest settings.
type Pull struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Call asks an agent to call its service.
type Call struct {
	lease.ID
	Method string        `cbor:"3,keyasint"`
	Path   string        `cbor:"4,keyasint"`
	Type   string        `cbor:"5,keyasint,omitempty"`
	Body   []byte        `cbor:"6,keyasint,omitempty"`
	Limit  time.Duration `cbor:"7,keyasint"`
	// Once reports that the call must not be repeated.
	Once bool `cbor:"8,keyasint,omitempty"`
}

// Answer is the result of a Call.
type Answer struct {
	lease.ID
	// Sent reports whether the service may have received the call.
	Sent   bool   `cbor:"3,keyasint"`
	Status int    `cbor:"4,keyasint,omitempty"`
	Type   string `cbor:"5,keyasint,omitempty"`
	Body   []byte `cbor:"6,keyasint,omitempty"`
	Detail string `cbor:"7,keyasint,omitempty"`
}

// Summary reports the servers of one availability zone to control and to other zones.
type Summary struct {
	Zone    string        `cbor:"1,keyasint"`
	Servers []ServerState `cbor:"2,keyasint"`
}

// ServerState is one server in a Summary.
type ServerState struct {
	Name    string   `cbor:"1,keyasint"`
	Leaving bool     `cbor:"2,keyasint,omitempty"`
	Free    int      `cbor:"3,keyasint,omitempty"`
	Models  []string `cbor:"4,keyasint,omitempty"`
	Assets  []string `cbor:"5,keyasint,omitempty"`
	Role    string   `cbor:"6,keyasint,omitempty"`
}

// Leaving lists the servers that the platform's list of VMs shows as leaving.
type Leaving struct {
	Servers []string `cbor:"1,keyasint"`
}

// Zones reports to entries which availability zones have free slots, so that one whose
// own zone is full can use another.
type Zones struct {
	Free []ZoneFree `cbor:"1,keyasint"`
}

// ZoneFree is the free capacity of one zone: free slots by model and role.
type ZoneFree struct {
	Zone    string         `cbor:"1,keyasint"`
	Prefill map[string]int `cbor:"2,keyasint,omitempty"`
	Decode  map[string]int `cbor:"3,keyasint,omitempty"`
}

// Shares requests units of customers' limits from the upstream process.
type Shares struct {
	Asks []quota.Ask `cbor:"1,keyasint"`
}

// Lent answers Shares.
type Lent struct {
	Grants []quota.Grant `cbor:"1,keyasint"`
}

// Register notifies the home agent of a caller's key which request holds the key now.
type Register struct {
	Key string `cbor:"1,keyasint"`
	Req string `cbor:"2,keyasint"`
}

// Registered confirms a Register.
type Registered struct {
	Req string `cbor:"1,keyasint"`
}

// Recorded reports that a voter has stored the Record of an attempt.
type Recorded struct {
	Attempt string `cbor:"1,keyasint"`
}

// Superseded notifies an entry that a newer request holds the key of one of its own.
type Superseded struct {
	Req string `cbor:"1,keyasint"`
}

// Routes carries a committed routing table, or reports that there is a newer one.
// From a gateway it requests a table above Version.
type Routes struct {
	Table *route.Table `cbor:"1,keyasint,omitempty"`
	// Version is the newest version that the sender has seen.
	Version uint64 `cbor:"2,keyasint"`
	// Confirmed reports that the sender guarantees that no newer table is accepted.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}

// Servers carries reports of backend servers.
type Servers struct {
	List []registry.Server `cbor:"1,keyasint"`
	// Away are the engines that are changing their role.
	Away []Away `cbor:"2,keyasint,omitempty"`
	// Alive reports that all servers that the sender has reported as ready over this link
	// have reported themselves within the time For, except those in Silent. With a list of
	// exceptions, the size of the message does not grow with the number of servers.
	Alive  bool          `cbor:"3,keyasint,omitempty"`
	For    time.Duration `cbor:"4,keyasint,omitempty"`
	Silent []string      `cbor:"6,keyasint,omitempty"`
	// Dropped are the servers about which the sender sends no more updates.
	Dropped []string `cbor:"7,keyasint,omitempty"`
	// Sizes are the sizes of all groups of servers.
	Sizes []GroupSize `cbor:"5,keyasint,omitempty"`
}

// GroupSize is the number of servers of a service that have a role.
type GroupSize struct {
	Service string `cbor:"1,keyasint"`
	Role    string `cbor:"2,keyasint,omitempty"`
	Size    int    `cbor:"3,keyasint"`
}

// Away is an engine that accepts no requests until it has changed its role.
type Away struct {
	Server string `cbor:"1,keyasint"`
	Role   string `cbor:"2,keyasint"`
	// For is the minimum duration of the change.
	For time.Duration `cbor:"3,keyasint"`
}

// Replicas lists the link addresses of all control replicas.
type Replicas struct {
	Addresses []string `cbor:"1,keyasint"`
	// Gateways is the number of gateways that have a link to the sender.
	Gateways int `cbor:"2,keyasint"`
	// Leader is the link address of the leader; empty if the sender knows none.
	Leader string `cbor:"3,keyasint,omitempty"`
	// Cut reports that the sender has no link to a majority of the other replicas.
	Cut bool `cbor:"4,keyasint,omitempty"`
}

// Loads reports what gateways have reserved at engines, so that each gateway has the
// others' load. A gateway reports all of its reservations to one replica. A replica sends the
// sums of its own gateways to the other replicas, and to each of its own gateways the sums of
// all other gateways; both only where they have changed.
type Loads struct {
	List []EngineLoad `cbor:"1,keyasint"`
	// Gateways is the number of gateways whose loads are in the sums.
	Gateways int `cbor:"2,keyasint,omitempty"`
	// Ended reports that the sender reports to another replica from now on.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// Queued is the number of requests that wait for capacity at an engine: a gateway's own,
	// or those of the gateways in the sums.
	Queued int `cbor:"4,keyasint,omitempty"`
	// Whole reports that engines that are not listed have no reservations.
	Whole bool `cbor:"5,keyasint,omitempty"`
	// Demand is what waits and what has recently arrived, by service and urgency. The list is
	// always complete and replaces the one sent before. Older builds send and read only Queued.
	Demand []demand.Class `cbor:"6,keyasint,omitempty"`
	// Requests is the number of callers' requests of any kind in 1,000 s: a gateway's own, or those of
	// the gateways in the sums. Older builds do not report it.
	Requests int `cbor:"7,keyasint,omitempty"`
}

// EngineLoad is what one or several gateways have reserved at one engine.
type EngineLoad struct {
	Server string `cbor:"1,keyasint"`
	// Tokens are the reserved tokens of KV cache.
	Tokens int `cbor:"2,keyasint,omitempty"`
	// Prefill are the prompt tokens that wait for prefill.
	Prefill int `cbor:"3,keyasint,omitempty"`
	// Runs is the number of running requests.
	Runs int `cbor:"4,keyasint,omitempty"`
	// Held are the tokens of KV cache that the running requests occupy now.
	Held int `cbor:"5,keyasint,omitempty"`
	// Good and Bad are the recent requests to the server that succeeded and that failed,
	// Witnesses the gateways at which some failed.
	Good      int `cbor:"6,keyasint,omitempty"`
	Bad       int `cbor:"7,keyasint,omitempty"`
	Witnesses int `cbor:"8,keyasint,omitempty"`
	// Lost is the number of recent answers that the server lost, because of its connection or
	// its process, and of connections to a plain server that could not be opened.
	Lost int `cbor:"9,keyasint,omitempty"`
}

// Evacuated lists the availability zones that get no new work.
type Evacuated struct {
	// Number rises with each change, so that an earlier message never reverts a later one.
	Number uint64                `cbor:"1,keyasint,omitempty"`
	Zones  []fleet.EvacuatedZone `cbor:"2,keyasint,omitempty"`
}

// ColdLease allows a gateway to send requests to a cold server; no other gateway with a lease
// of the same replica may do so.
type ColdLease struct {
	Server string `cbor:"1,keyasint,omitempty"`
	// Most is the maximum number of requests in any second.
	Most int `cbor:"2,keyasint,omitempty"`
	// For is the duration of the lease from its arrival on.
	For time.Duration `cbor:"3,keyasint,omitempty"`
}
