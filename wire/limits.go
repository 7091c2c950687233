package wire

import "time"

// Limits tells of servers that name a limit of requests a second, and of the tokens under which
// such servers are sent requests. It is said from version LimitsVersion on.
type Limits struct {
	Observations []LimitObservation `cbor:"1,keyasint,omitempty"`
	// Asks is what a gateway, or the gateways of a replica, would send; what is not listed is
	// nothing.
	Asks   []LimitAsk   `cbor:"2,keyasint,omitempty"`
	Tokens []LimitToken `cbor:"3,keyasint,omitempty"`
	// Back are tokens that are given back.
	Back []LimitToken `cbor:"4,keyasint,omitempty"`
	// Supply is what the limited servers of services take.
	Supply []LimitSupply `cbor:"5,keyasint,omitempty"`
}

// LimitObservation is what a server said of its limit in an answer.
type LimitObservation struct {
	Server string `cbor:"1,keyasint,omitempty"`
	// Named tells that it named a limit of Rate requests a second.
	Named bool    `cbor:"2,keyasint,omitempty"`
	Rate  float64 `cbor:"3,keyasint,omitempty"`
	// Sent is how long ago the request went out, Heard how long ago its answer came.
	Sent  time.Duration `cbor:"4,keyasint,omitempty"`
	Heard time.Duration `cbor:"5,keyasint,omitempty"`
}

// LimitAsk is what somebody would send to a service with limited servers.
type LimitAsk struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Rate is the requests a second that came of late, Waiting those that wait for a token,
	// and Priority the rank of the most urgent one.
	Rate     float64 `cbor:"2,keyasint,omitempty"`
	Waiting  int     `cbor:"3,keyasint,omitempty"`
	Priority int     `cbor:"4,keyasint,omitempty"`
	// Got counts the tokens that have come from the receiver over this link.
	Got int `cbor:"5,keyasint,omitempty"`
}

// LimitToken lets the receiver send requests to a server.
type LimitToken struct {
	Server string `cbor:"1,keyasint,omitempty"`
	Tokens int    `cbor:"2,keyasint,omitempty"`
	// For is how long they hold from their arrival on.
	For time.Duration `cbor:"3,keyasint,omitempty"`
	// Owner is the replica that issued them; empty for the sender.
	Owner string `cbor:"4,keyasint,omitempty"`
	// Spare tells that nobody waits for them.
	Spare bool `cbor:"5,keyasint,omitempty"`
}

// LimitSupply is what the limited servers of a service take in a second, and how many requests
// wait for that.
type LimitSupply struct {
	Service string  `cbor:"1,keyasint,omitempty"`
	Rate    float64 `cbor:"2,keyasint,omitempty"`
	Waiting int     `cbor:"3,keyasint,omitempty"`
}
