package policybench

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ledgepin/ledgepin/placement"
	"github.com/ledgepin/ledgepin/router"
)

// Class is a kind of request in a mix.
type Class struct {
	Name     string
	Priority int
	// Share is the share of the requests that belong to this class.
	Share float64
	// Prompt and Output bounds are in tokens.
	PromptMin, PromptMax int
	OutputMin, OutputMax int
	TTFT, TBT            time.Duration
	// Prefix is the length of the prompt prefix that all requests of a customer in this class
	// share, in tokens.
	Prefix int
	// Interactive marks classes whose callers wait for the answer.
	Interactive bool
}

// Mix is a workload with the servers on which it runs.
type Mix struct {
	Name            string
	Classes         []Class
	Prefill, Decode int
	// Rate is the mean prefill rate of a server in tokens per second.
	Rate float64
	// Slots is the number of decode slots of a server.
	Slots     int
	Customers int
}

// Constants of both mixes.
const (
	kvPerToken = 100_000 // bytes
	linkRate   = 3e9     // bytes per second
	kvHold     = 5 * time.Second
	// minStepTime and fullBatchExtraTime define the time of a decode step: minStepTime for an
	// empty batch, and fullBatchExtraTime more for a full one, in proportion to the batch.
	minStepTime        = 20 * time.Millisecond
	fullBatchExtraTime = 30 * time.Millisecond
	cacheBlocks        = 2000 // prefix blocks in the cache of a prefill server
	disconnectTargets  = 10   // multiple of the TTFT target after which a caller without a token disconnects
)

// Azienda returns a mix of long log reviews and short checkout questions, which is dominated by
// prefill.
func Azienda() Mix {
	return Mix{
		Name: "azienda", Prefill: 5, Decode: 4, Rate: 12000, Slots: 32, Customers: 20,
		Classes: []Class{
			{Name: "checkout", Priority: 0, Share: 0.75, PromptMin: 80, PromptMax: 600, OutputMin: 30, OutputMax: 160,
				TTFT: 330 * time.Millisecond, TBT: 75 * time.Millisecond, Prefix: 64, Interactive: true},
			{Name: "review", Priority: 2, Share: 0.25, PromptMin: 4000, PromptMax: 24000, OutputMin: 10, OutputMax: 60,
				TTFT: 8 * time.Second, TBT: 150 * time.Millisecond, Prefix: 1024},
		},
	}
}

// Dunaj returns a mix of transaction screenings and explanations of receipts, which is dominated
// by decode.
func Dunaj() Mix {
	return Mix{
		Name: "dunaj", Prefill: 3, Decode: 6, Rate: 12000, Slots: 32, Customers: 12,
		Classes: []Class{
			{Name: "screening", Priority: 0, Share: 0.6, PromptMin: 300, PromptMax: 900, OutputMin: 10, OutputMax: 40,
				TTFT: 330 * time.Millisecond, TBT: 75 * time.Millisecond, Prefix: 256, Interactive: true},
			{Name: "receipt", Priority: 1, Share: 0.4, PromptMin: 200, PromptMax: 1500, OutputMin: 120, OutputMax: 400,
				TTFT: time.Second, TBT: 75 * time.Millisecond, Prefix: 256},
		},
	}
}

// arrival is a request of the workload, the same for every policy.
type arrival struct {
	at     time.Duration
	class  *Class
	req    router.Request
	output int
	// cachedTokens is the number of prompt tokens that a perfect prefix cache would hold.
	cachedTokens int
}

// uniform returns a random length between two bounds, more often a short one than a long one: its
// distribution is that of the square of a uniform variable.
func uniform(rng *rand.Rand, low, high int) int {
	f := rng.Float64()
	return low + int(f*f*float64(high-low))
}

// meanOf returns the mean of uniform.
func meanOf(low, high int) float64 { return float64(low) + float64(high-low)/3 }

// meanPrefill returns the mean prefill work of a request in tokens, without the shared prefix.
func (m *Mix) meanPrefill() float64 {
	var sum float64
	for _, c := range m.Classes {
		sum += c.Share * (meanOf(c.PromptMin, c.PromptMax) - float64(c.Prefix))
	}
	return sum
}

// meanOutput returns the mean length of an answer in tokens.
func (m *Mix) meanOutput() float64 {
	var sum float64
	for _, c := range m.Classes {
		sum += c.Share * meanOf(c.OutputMin, c.OutputMax)
	}
	return sum
}

// prefillRate returns the prefill rate of all servers together, in tokens per second.
func (m *Mix) prefillRate() float64 {
	var sum float64
	for i := range m.Prefill {
		sum += m.Rate * speedFactor(i)
	}
	return sum
}

// decodeRate returns the decode rate of all servers together with full batches, in tokens per
// second.
func (m *Mix) decodeRate() float64 {
	var sum float64
	for i := range m.Decode {
		sum += float64(m.Slots) / (minStepTime + fullBatchExtraTime).Seconds() * speedFactor(i)
	}
	return sum
}

// capacity returns the maximum number of requests per second that the servers can serve.
func (m *Mix) capacity() float64 {
	return math.Min(m.prefillRate()/m.meanPrefill(), m.decodeRate()/m.meanOutput())
}

// speedFactor returns the relative speed of a server. Servers differ, since real ones do.
func speedFactor(i int) float64 { return []float64{1, 0.75, 1.25, 0.9, 1.1, 1, 0.8, 1.2, 1}[i%9] }

// arrivals returns the requests of a run, a Poisson process at a load in shares of capacity.
func (m *Mix) arrivals(rng *rand.Rand, load float64, length time.Duration) []arrival {
	rate := load * m.capacity()
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > length {
			return out
		}
		out = append(out, m.arrival(rng, at, len(out)))
	}
}

func (m *Mix) arrival(rng *rand.Rand, at time.Duration, n int) arrival {
	c := &m.Classes[len(m.Classes)-1]
	pick := rng.Float64()
	for i := range m.Classes {
		if pick < m.Classes[i].Share {
			c = &m.Classes[i]
			break
		}
		pick -= m.Classes[i].Share
	}
	tokens := uniform(rng, c.PromptMin, c.PromptMax)
	customer := fmt.Sprintf("customer-%d", rng.IntN(m.Customers))
	return arrival{
		at: at, class: c, output: max(uniform(rng, c.OutputMin, c.OutputMax), 1), cachedTokens: min(c.Prefix, tokens-1),
		req: router.Request{
			ID: fmt.Sprintf("r%d", n), Customer: customer, Share: 1, Class: c.Name, Model: "m", Priority: c.Priority,
			Tokens: tokens, Prefixes: prefixes(customer, c, tokens, n), KVBytes: int64(tokens) * kvPerToken,
			TTFT: c.TTFT, TBT: c.TBT,
		},
	}
}

// prefixes returns the hashes of a prompt's prefixes. Those of the shared prefix are the same for
// all requests of a customer and class.
func prefixes(customer string, c *Class, tokens, n int) []uint64 {
	const blockTokens = placement.BlockBytes / placement.BytesPerToken
	var out []uint64
	for i := 0; i < min(tokens/blockTokens, 64); i++ {
		name := fmt.Sprintf("%s/%s/%d", customer, c.Name, i)
		if (i+1)*blockTokens > c.Prefix {
			name = fmt.Sprintf("%s/%d", name, n)
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		out = append(out, h.Sum64())
	}
	return out
}
