package balance

// What a long prompt is worth that is served in time, in short requests: a part that every
// one of its kind has, and a part by its length. Estimates from what users say that their
// requests are worth to them, on sheets of five installations: prompts of 45,000 tokens are
// worth 1.9 to 3.0 short ones, and those of the most patient kind of 133,000 tokens 11.5, of
// 190,000 15, of 260,000 26, of 300,000 21; of one kind the worth follows the length by
// seven tenths.
const (
	patientWorth  = 5.0
	patientTokens = 18000 // that add the worth of one short request
	middleWorth   = 0.7
	middleTokens  = 27000
	// otherTokens is the same where no kind is more patient than another, so that the
	// length alone tells them apart.
	otherTokens = 10000
)

// value returns what a long prompt is worth that is served in time, in short requests. By
// length alone, one short request for otherTokens, prompts of middle length were overrated
// by two and a half times: worth 0.017 lower (standard error 0.003), 12 pairs of days of
// 34 s before 60 engines.
func (w Work) value() float64 {
	tokens := float64(w.InputTokens)
	switch {
	case w.patient() == 1:
		return patientWorth + tokens/patientTokens
	case w.Pauses.Longest > w.Pauses.Next:
		return middleWorth + tokens/middleTokens
	default:
		return tokens / otherTokens
	}
}

// patient returns 1 for a request whose route allows longer pauses than the next
// ones after the shortest, else 0.
func (w Work) patient() int {
	if w.Pause > w.Pauses.Next {
		return 1
	}
	return 0
}
