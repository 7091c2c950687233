package wire

import (
	"time"

	"github.com/ledgepin/ledgepin/claim"
	"github.com/ledgepin/ledgepin/consensus"
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
	// Contents are those under which servers have ended.
	Contents []poison.Record `cbor:"39,keyasint,omitempty"`

	Evacuated *Evacuated  `cbor:"40,keyasint,omitempty"`
	Cold      []ColdLease `cbor:"41,keyasint,omitempty"`
	Limits    *Limits     `cbor:"42,keyasint,omitempty"`
}

// Heartbeat shows life and renews the leases of the link's owner.
type Heartbeat struct {
	Revision uint64          `cbor:"1,keyasint"`
	Load     *placement.Load `cbor:"2,keyasint,omitempty"`
	// Assets and Role tell what the engine has loaded and serves as; they are
	// only sent when a link opens and when they change.
	Assets []string `cbor:"3,keyasint,omitempty"`
	Role   string   `cbor:"4,keyasint,omitempty"`
	// Told tells that Assets and Role are there, though they may be empty.
	Told bool `cbor:"5,keyasint,omitempty"`
}

// Reserve asks an agent for a slot, to be answered at once.
type Reserve struct {
	lease.ID
	Model    string `cbor:"3,keyasint"`
	Priority int    `cbor:"4,keyasint"`
	// Tokens is the prefill work that the slot is for; zero for decode.
	Tokens int `cbor:"5,keyasint,omitempty"`
	// Hold is how long the slot waits for its work.
	Hold time.Duration `cbor:"6,keyasint"`
	// Keep lets the work outlive its caller.
	Keep bool `cbor:"7,keyasint,omitempty"`
}

// Reserved answers a Reserve.
type Reserved struct {
	lease.ID
	OK     bool           `cbor:"3,keyasint"`
	Reason string         `cbor:"4,keyasint,omitempty"`
	Load   placement.Load `cbor:"5,keyasint"`
}

// Prefill starts the prefill that was reserved.
type Prefill struct {
	lease.ID
	Request engine.Request `cbor:"3,keyasint"`
}

// Prefilled tells that the KV cache can be fetched.
type Prefilled struct {
	lease.ID
	KV     engine.KV      `cbor:"3,keyasint"`
	Cached int            `cbor:"4,keyasint"`
	Took   time.Duration  `cbor:"5,keyasint"`
	Load   placement.Load `cbor:"6,keyasint"`
}

// Decode starts the decode that was reserved.
type Decode struct {
	lease.ID
	Request engine.Request `cbor:"3,keyasint"`
	KV      engine.KV      `cbor:"4,keyasint"`
	// From is the index of the first token to send.
	From int `cbor:"5,keyasint"`
}

// Imported tells that the decode engine has the KV cache.
type Imported struct {
	lease.ID
	Took time.Duration `cbor:"3,keyasint"`
}

// Chunk is a part of an answer.
type Chunk struct {
	lease.ID
	engine.Chunk
}

// Resume asks an agent, on a new link, for what became of an attempt: the
// chunks from an index on, or the result of its prefill.
type Resume struct {
	lease.ID
	From   int  `cbor:"3,keyasint"`
	Decode bool `cbor:"4,keyasint,omitempty"`
	Keep   bool `cbor:"5,keyasint,omitempty"`
}

// Failed tells that an attempt ended without its result.
type Failed struct {
	lease.ID
	Step   string `cbor:"3,keyasint"`
	Code   string `cbor:"4,keyasint"`
	Detail string `cbor:"5,keyasint"`
	// Server tells that the server itself is at fault.
	Server bool `cbor:"6,keyasint,omitempty"`
}

// Cancel frees whatever the attempt holds at this agent.
type Cancel struct {
	lease.ID
}

// Settings brings a tree, as a delta to the revision that the receiver has
// or whole.
type Settings struct {
	Revision uint64          `cbor:"1,keyasint"`
	Sum      settings.Sum    `cbor:"2,keyasint"`
	Delta    *settings.Delta `cbor:"3,keyasint,omitempty"`
	Whole    []byte          `cbor:"4,keyasint,omitempty"`
	// Confirmed tells that control vouched for the revision under a live lease.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
}

// Pull asks for the newest settings.
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
	// Once tells that the call may not be repeated.
	Once bool `cbor:"8,keyasint,omitempty"`
}

// Answer ends a Call.
type Answer struct {
	lease.ID
	// Sent tells whether the service may have seen the call.
	Sent   bool   `cbor:"3,keyasint"`
	Status int    `cbor:"4,keyasint,omitempty"`
	Type   string `cbor:"5,keyasint,omitempty"`
	Body   []byte `cbor:"6,keyasint,omitempty"`
	Detail string `cbor:"7,keyasint,omitempty"`
}

// Summary tells control, and other availability zones, what one zone has.
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

// Leaving lists the servers that the platform's list shows as leaving.
type Leaving struct {
	Servers []string `cbor:"1,keyasint"`
}

// Zones tells entries which availability zones have room, so that one whose
// own zone is short can spill to another.
type Zones struct {
	Free []ZoneFree `cbor:"1,keyasint"`
}

// ZoneFree is the room of one zone: free slots by model and role.
type ZoneFree struct {
	Zone    string         `cbor:"1,keyasint"`
	Prefill map[string]int `cbor:"2,keyasint,omitempty"`
	Decode  map[string]int `cbor:"3,keyasint,omitempty"`
}

// Shares asks upstream for units of customers' limits.
type Shares struct {
	Asks []quota.Ask `cbor:"1,keyasint"`
}

// Lent answers Shares.
type Lent struct {
	Grants []quota.Grant `cbor:"1,keyasint"`
}

// Register tells the home agent of a caller's key which request has it now.
type Register struct {
	Key string `cbor:"1,keyasint"`
	Req string `cbor:"2,keyasint"`
}

// Registered tells that the home agent has taken a Register.
type Registered struct {
	Req string `cbor:"1,keyasint"`
}

// Recorded tells that a voter has taken the Record of an attempt.
type Recorded struct {
	Attempt string `cbor:"1,keyasint"`
}

// Superseded tells an entry that a newer request has the key of one of its own.
type Superseded struct {
	Req string `cbor:"1,keyasint"`
}

// Routes brings a routing table that is committed, or tells that there is a newer one.
// From a gateway it asks for a table above Version.
type Routes struct {
	Table *route.Table `cbor:"1,keyasint,omitempty"`
	// Version is the newest version that the sender knows.
	Version uint64 `cbor:"2,keyasint"`
	// Confirmed tells that the sender vouches that no newer one is accepted.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}

// Servers brings reports of backend servers.
type Servers struct {
	List []registry.Server `cbor:"1,keyasint"`
	// Away are engines that are changing their role.
	Away []Away `cbor:"2,keyasint,omitempty"`
	// Alive tells that the servers that the sender has told of as ready over this
	// link have reported themselves within the time For, but for those in Silent. A
	// list of exceptions keeps the bytes level while the number of servers grows.
	Alive  bool          `cbor:"3,keyasint,omitempty"`
	For    time.Duration `cbor:"4,keyasint,omitempty"`
	Silent []string      `cbor:"6,keyasint,omitempty"`
	// Dropped are servers of which the sender tells no more.
	Dropped []string `cbor:"7,keyasint,omitempty"`
	// Sizes are the numbers of servers of all groups.
	Sizes []GroupSize `cbor:"5,keyasint,omitempty"`
}

// GroupSize is the number of servers of a service that have a role.
type GroupSize struct {
	Service string `cbor:"1,keyasint"`
	Role    string `cbor:"2,keyasint,omitempty"`
	Size    int    `cbor:"3,keyasint"`
}

// Away is an engine that takes no requests until it has another role.
type Away struct {
	Server string `cbor:"1,keyasint"`
	Role   string `cbor:"2,keyasint"`
	// For is the least time that it takes.
	For time.Duration `cbor:"3,keyasint"`
}

// Replicas tells the link addresses of all control replicas.
type Replicas struct {
	Addresses []string `cbor:"1,keyasint"`
	// Gateways is the number of gateways that have a link to the sender.
	Gateways int `cbor:"2,keyasint"`
	// Leader is the link address of the leader as the sender knows it.
	Leader string `cbor:"3,keyasint,omitempty"`
	// Cut tells that the sender has no link to most of the other replicas.
	Cut bool `cbor:"4,keyasint,omitempty"`
}

// Loads tells what gateways have reserved at engines, so that each of them
// knows what the others use. A gateway tells one replica all that it has reserved.
// A replica tells the others the sums of its own gateways, and each of its own
// gateways the sums of all others, both where they have changed.
type Loads struct {
	List []EngineLoad `cbor:"1,keyasint"`
	// Gateways is the number of gateways whose loads are in the sums.
	Gateways int `cbor:"2,keyasint,omitempty"`
	// Ended tells that the sender tells another replica from now on.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// Queued are the requests that wait for room at an engine: a gateway's own, or
	// those of the gateways in the sums.
	Queued int `cbor:"4,keyasint,omitempty"`
	// Whole tells that engines that are not listed have no reservations.
	Whole bool `cbor:"5,keyasint,omitempty"`
}

// EngineLoad is what one gateway, or several together, have reserved at one
// engine.
type EngineLoad struct {
	Server string `cbor:"1,keyasint"`
	// Tokens are reserved tokens of KV cache.
	Tokens int `cbor:"2,keyasint,omitempty"`
	// Prefill are prompt tokens that wait to be read.
	Prefill int `cbor:"3,keyasint,omitempty"`
	// Runs are the requests that run.
	Runs int `cbor:"4,keyasint,omitempty"`
	// Held are the tokens of KV cache that the runs have now.
	Held int `cbor:"5,keyasint,omitempty"`
	// Good and Bad are the requests to the server that went well and that failed of
	// late, Witnesses the gateways at which some failed.
	Good      int `cbor:"6,keyasint,omitempty"`
	Bad       int `cbor:"7,keyasint,omitempty"`
	Witnesses int `cbor:"8,keyasint,omitempty"`
}

// Evacuated tells which availability zones get no new work.
type Evacuated struct {
	// Number rises with each change, so that an earlier report never undoes a later one.
	Number uint64                `cbor:"1,keyasint,omitempty"`
	Zones  []fleet.EvacuatedZone `cbor:"2,keyasint,omitempty"`
}

// ColdLease lets a gateway send requests to a server that is cold; nobody else with a lease
// of the same replica does.
type ColdLease struct {
	Server string `cbor:"1,keyasint,omitempty"`
	// Most is how many requests it may send in any second.
	Most int `cbor:"2,keyasint,omitempty"`
	// For is how long the lease holds from its arrival on.
	For time.Duration `cbor:"3,keyasint,omitempty"`
}
