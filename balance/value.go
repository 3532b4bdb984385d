package balance

// valueTokens is the length of the prompt whose service in time is worth as much as
// that of one short request. An estimate from what users say that their requests
// are worth to them: 45,000 tokens three short ones, 133,000 twelve, 182,000
// eighteen.
const valueTokens = 10000

// value returns what a long prompt is worth that is served in time, in short
// requests.
func (w Work) value() float64 { return float64(w.InputTokens) / valueTokens }

// patient returns 1 for a request whose route allows longer pauses than the next
// ones after the shortest, else 0.
func (w Work) patient() int {
	if w.Pause > w.Pauses.Next {
		return 1
	}
	return 0
}
