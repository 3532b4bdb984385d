package routing

import "time"

// DefaultCost is used for an endpoint whose cost has not been learned yet.
var DefaultCost = Cost{
	PrefillPerToken:        50 * time.Microsecond,
	PrefillPerTokenSquared: 0.0002,
	DecodePerToken:         20 * time.Millisecond,
}

// ChunkTokens is the number of prompt tokens that engines are assumed to
// prefill in one step, between two output tokens (chunked prefill).
const ChunkTokens = 1024

// Known reports whether the prefill cost has been learned or configured.
func (c Cost) Known() bool { return c.PrefillPerToken > 0 || c.PrefillPerTokenSquared > 0 }

// OrDefault returns the cost with unknown values taken from DefaultCost.
func (c Cost) OrDefault() Cost {
	if !c.Known() {
		c.PrefillPerToken = DefaultCost.PrefillPerToken
		c.PrefillPerTokenSquared = DefaultCost.PrefillPerTokenSquared
	}
	if c.DecodePerToken <= 0 {
		c.DecodePerToken = DefaultCost.DecodePerToken
	}
	return c
}

// Prefill predicts the time to prefill a prompt whose first cached tokens are
// in the prefix cache. The quadratic term includes attention to the cached
// tokens.
func (c Cost) Prefill(prompt, cached uint64) time.Duration {
	cached = min(cached, prompt)
	linear := float64(c.PrefillPerToken) * float64(prompt-cached)
	p, q := float64(prompt), float64(cached)
	quadratic := c.PrefillPerTokenSquared * float64(time.Microsecond) * (p*p - q*q)
	return time.Duration(linear + quadratic)
}

// Decode predicts the time to decode a response of n tokens.
func (c Cost) Decode(n uint64) time.Duration {
	return time.Duration(float64(c.DecodePerToken) * float64(n))
}
