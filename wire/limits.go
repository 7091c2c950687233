package wire

import "time"

// Limits carries the rate limits that servers report, and the tokens with which such servers
// are sent requests. It is sent from version LimitsVersion on.
type Limits struct {
	Observations []LimitObservation `cbor:"1,keyasint,omitempty"`
	// Asks is the demand of a gateway, or of the gateways of a replica; a service that is not
	// listed has none.
	Asks   []LimitAsk   `cbor:"2,keyasint,omitempty"`
	Tokens []LimitToken `cbor:"3,keyasint,omitempty"`
	// Back are tokens that their holder returns.
	Back []LimitToken `cbor:"4,keyasint,omitempty"`
	// Supply is the capacity of the limited servers of each service.
	Supply []LimitSupply `cbor:"5,keyasint,omitempty"`
}

// LimitObservation is the rate limit that a server reported in an answer.
type LimitObservation struct {
	Server string `cbor:"1,keyasint,omitempty"`
	// Named reports whether it named a limit of Rate requests per second.
	Named bool    `cbor:"2,keyasint,omitempty"`
	Rate  float64 `cbor:"3,keyasint,omitempty"`
	// Sent is the time since the request was sent, Heard the time since its answer arrived.
	Sent  time.Duration `cbor:"4,keyasint,omitempty"`
	Heard time.Duration `cbor:"5,keyasint,omitempty"`
}

// LimitAsk is the demand of one sender for a service with limited servers.
type LimitAsk struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Rate is the recent rate of requests per second, Waiting the number that wait for a
	// token, and Priority the rank of the most urgent of them.
	Rate     float64 `cbor:"2,keyasint,omitempty"`
	Waiting  int     `cbor:"3,keyasint,omitempty"`
	Priority int     `cbor:"4,keyasint,omitempty"`
	// Got counts the tokens that have arrived from the receiver over this link.
	Got int `cbor:"5,keyasint,omitempty"`
}

// LimitToken allows the receiver to send requests to a server.
type LimitToken struct {
	Server string `cbor:"1,keyasint,omitempty"`
	Tokens int    `cbor:"2,keyasint,omitempty"`
	// For is the time for which the tokens are valid after their arrival.
	For time.Duration `cbor:"3,keyasint,omitempty"`
	// Owner is the replica that issued them; empty for the sender.
	Owner string `cbor:"4,keyasint,omitempty"`
	// Spare reports that no request waits for them.
	Spare bool `cbor:"5,keyasint,omitempty"`
}

// LimitSupply is the rate that the limited servers of a service accept, and the number of
// requests that wait for it.
type LimitSupply struct {
	Service string  `cbor:"1,keyasint,omitempty"`
	Rate    float64 `cbor:"2,keyasint,omitempty"`
	Waiting int     `cbor:"3,keyasint,omitempty"`
}
