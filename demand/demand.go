// Package demand describes how much capacity of each service is requested, by urgency: what
// waits now, what has recently arrived, and which rejected callers were told when to retry.
//
// Gateways report their own demand to control, whose replicas add it up. So decisions depend on
// the demand of all gateways, and no message lists single requests.
package demand

// Class is the demand of requests of one urgency for a service: a gateway's own, or that of
// the gateways in the sums.
type Class struct {
	Service string `cbor:"1,keyasint"`
	// Organisation and Route are the urgency (route.Urgency).
	Organisation int `cbor:"2,keyasint,omitempty"`
	Route        int `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of requests that wait for capacity, WaitingTokens the sum of the
	// tokens of KV cache that they will have at their end.
	Waiting       int `cbor:"4,keyasint,omitempty"`
	WaitingTokens int `cbor:"5,keyasint,omitempty"`
	// Rate is the number of new requests in 1,000 s, including rejected ones, Tokens the tokens
	// of KV cache per second that they will have at their end, and PromptTokens those of their
	// prompts.
	Rate         int `cbor:"6,keyasint,omitempty"`
	Tokens       int `cbor:"7,keyasint,omitempty"`
	PromptTokens int `cbor:"8,keyasint,omitempty"`
	// Before is the number of requests of the same urgency at other gateways whose turn comes
	// before those of the gateway that receives the message.
	Before int `cbor:"9,keyasint,omitempty"`
	// Returns is the number of rejected callers that were told to retry in each interval of
	// 250 ms from now on.
	Returns []int `cbor:"10,keyasint,omitempty"`
	// PrefillTime is the time in microseconds that prefill engines take for the prompts of a
	// second. KVTokens is the size of the KV caches in tokens that the runs of the requests use at
	// a time. Both cover only gateways that know how long engines take.
	PrefillTime int `cbor:"11,keyasint,omitempty"`
	KVTokens    int `cbor:"12,keyasint,omitempty"`
	// Served is the number of requests in 1,000 s whose answers were completed.
	Served int `cbor:"13,keyasint,omitempty"`
}
