package main

import (
	"errors"
	"fmt"
	"time"
)

// valueTokens is the number of prompt tokens that are worth one short request if no kinds
// are given.
const valueTokens = 10_000

// kind is the worth that users assign to one kind of request.
type kind struct {
	worth  float64 // of a request of typical length
	tokens float64 // prompt tokens of that request
}

// values determines the worth of requests: by kind, identified by the pause that the
// request's route allows, or by length if no kind is given for that pause.
type values map[time.Duration]kind

// parseKinds reads kinds as PAUSE_MS:WORTH:TOKENS.
func parseKinds(texts []string) (values, error) {
	out := make(values, len(texts))
	for _, text := range texts {
		var pause int
		var k kind
		if _, err := fmt.Sscanf(text, "%d:%g:%g", &pause, &k.worth, &k.tokens); err != nil {
			return nil, fmt.Errorf("--kind %q does not have the form PAUSE_MS:WORTH:TOKENS: %w", text, err)
		}
		if k.worth <= 0 || k.tokens <= 0 {
			return nil, errors.New("--kind " + text + ": worth and tokens must be greater than zero")
		}
		out[time.Duration(pause)*time.Millisecond] = k
	}
	return out, nil
}

// A request is worth flatShare of its kind's worth regardless of its length and the rest in
// proportion to its length, but at most maxMultiple times the kind's worth.
const (
	flatShare   = 0.3
	maxMultiple = 4
)

// worthOf returns the worth of a request that is answered in time: by kind in the users'
// unit, by length in units of short requests.
func (v values) worthOf(r *request) float64 {
	if k, ok := v[r.pause]; ok {
		return k.worth * min(maxMultiple, flatShare+(1-flatShare)*float64(r.tokens)/k.tokens)
	}
	return max(1, float64(r.tokens)/valueTokens)
}
