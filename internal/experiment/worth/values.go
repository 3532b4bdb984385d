package main

import (
	"errors"
	"fmt"
	"time"
)

// valueTokens is how many prompt tokens are worth as much as one short request where no
// kinds are given.
const valueTokens = 10_000

// kind is what the users say of one kind of request.
type kind struct {
	worth  float64 // of a request of middle length
	tokens float64 // of its prompt
}

// values tells what requests are worth: by their kinds, which the pauses that their routes
// allow tell apart, or by length where none are given.
type values map[time.Duration]kind

// parseKinds reads kinds as PAUSE_MS:WORTH:TOKENS.
func parseKinds(texts []string) (values, error) {
	out := make(values, len(texts))
	for _, text := range texts {
		var pause int
		var k kind
		if _, err := fmt.Sscanf(text, "%d:%g:%g", &pause, &k.worth, &k.tokens); err != nil {
			return nil, fmt.Errorf("--kind %q is not PAUSE_MS:WORTH:TOKENS: %w", text, err)
		}
		if k.worth <= 0 || k.tokens <= 0 {
			return nil, errors.New("--kind " + text + ": worth and tokens must be above zero")
		}
		out[time.Duration(pause)*time.Millisecond] = k
	}
	return out, nil
}

// A request is worth a part of its kind's worth whatever its length, and the rest by its
// length, at most so many times its kind's.
const (
	flatShare = 0.3
	mostTimes = 4
)

// of returns what a request is worth when it is answered in time: in the users' own unit by
// kind, in short requests by length.
func (v values) of(r *request) float64 {
	if k, ok := v[r.pause]; ok {
		return k.worth * min(mostTimes, flatShare+(1-flatShare)*float64(r.tokens)/k.tokens)
	}
	return max(1, float64(r.tokens)/valueTokens)
}
