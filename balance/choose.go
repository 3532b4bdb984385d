package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// Work is a request as the choice sees it.
type Work struct {
	InputTokens  int
	OutputTokens int
	// Slack is how much of its objective is left; a request that cannot be in
	// time any more is not delayed for the sake of others.
	Slack time.Duration
	// Waited is the part of the time that it may wait that has passed, 0 to 1.
	Waited float64
	// Pauses are what the routes to the service allow between two events, and
	// Pause what the request's own route allows.
	Pauses catalog.Pauses
	Pause  time.Duration
	// LeftMs is how much of the objective is left, and DeadlineMs of the deadline.
	LeftMs     float64
	DeadlineMs float64
	// Late is set for a prompt that has waited so long that it should be served
	// late rather than never.
	Late bool
	// MustTake is set for a request whose caller had not better come back later.
	MustTake bool
	// Avoid lists endpoints that the request was already sent to.
	Avoid []string
}

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID   string
	Load Load
	// Rank orders the candidates in the same way for all gateways: short requests
	// take the first ones, long prompts the last ones. OwnRank is an order of this
	// gateway's own.
	Rank    uint64
	OwnRank uint64
	// Suspect is set for an endpoint that failed lately; it is chosen only
	// when nothing else is left.
	Suspect bool
}

// Choice is where a request goes.
type Choice struct {
	Endpoint int   // index of the candidate; -1: none
	Helpers  []int // candidates that read parts of the prompt
	// Reserve is the memory to set aside at helpers before the request is sent,
	// where the endpoint has not enough for the whole prompt.
	Reserve []Reservation
	// Refuse is set when all slots are taken and the request would be late: its
	// caller had better come back when the others are done.
	Refuse bool
	// Wait is set when it is better to ask again soon.
	Wait bool
	// Loads is what the choice adds, by candidate.
	Loads []Placed
	// Expected is what the choice was made on, also one to wait or refuse.
	Expected Expected
}

// Expected is what a choice expects of the best endpoints that it found.
type Expected struct {
	FirstMs float64 // until the first event
	Harm    float64 // what it costs others, in late short requests
	Parts   int     // of the prompt; 0: no endpoint has room for one
	Idle    int     // endpoints that read nothing, of those that may be used
}

// Reservation is memory of a candidate that is set aside for a request.
type Reservation struct {
	Candidate int
	Tokens    int
}

// Placed is load that a choice adds to a candidate.
type Placed struct {
	Candidate int
	Load      Load
	// ReadFor is how long the reading takes at most by the estimate; zero: it
	// lasts until the first event.
	ReadFor time.Duration
}

// Policy holds the figures of the choice. Times are milliseconds.
type Policy struct {
	ShortMs    float64 // prompts that take no longer to read are short
	MaxHelpers int     // most helpers of one request
	// PartMs is the reading time of a part from which on it costs more, since it
	// keeps the endpoint from others for long; PartCost is what each part costs.
	PartMs   float64
	PartCost float64
	// CleanMs is the reading that an endpoint may have before a part. An engine
	// reads the newest part first: parts that queue up put off the oldest one,
	// and with it the prompt that it belongs to.
	CleanMs float64
	// EarlyHarm is the cost for others that every long prompt accepts. One that
	// can be in time accepts a part of its own value besides: HarmAtOnce when it
	// arrives, HarmWaited more when its time to wait is over. One that is late
	// accepts LateHarm of its value.
	EarlyHarm  float64
	HarmAtOnce float64
	HarmWaited float64
	LateHarm   float64
	// Headroom is the part of the endpoints that a prompt larger than the memory
	// of one leaves free of reading beside it.
	Headroom float64
	// LateLoss is the part of its value that a prompt loses that is served late.
	LateLoss float64
	// LongHarm is what a long request costs that gets a late event, PatientHarm
	// one whose route allows the longest pauses, and HoldUp what the delay of a
	// part of another prompt costs against that of a prompt.
	LongHarm    float64
	PatientHarm float64
	HoldUp      float64
	// ReadMargin is by how much the reading of a part may take longer than the
	// estimate.
	ReadMargin float64
	// PauseMargin is by how much a pass should be shorter than the pause that the
	// routes allow: short requests are held to the shortest one, patient ones to
	// the longest, other long ones to the one after the shortest.
	PauseMargin float64
	// FirstShare is the part of the time left within which the first event of a
	// short request should be expected.
	FirstShare float64
	// SlotWaitMs is the expected wait for a slot of an endpoint whose slots are
	// taken, for each of those that wait.
	SlotWaitMs float64
	// FullSlots is the part of the slots of all endpoints from which on short
	// requests that would be late are refused.
	FullSlots float64
	// PackSlots is the part of an endpoint's slots up to which short requests
	// are put together.
	PackSlots float64
}

// Default returns the policy that runs on the users' sites. Figures that are said
// to be tried were compared by the mean worth of the standard days of these sites
// (docs/design/on-the-platform.md); the others are estimates that were not varied.
func Default() Policy {
	return Policy{
		ShortMs:     60,   // the sites' short prompts take 24 ms, their middle ones 360
		MaxHelpers:  15,   // 16 parts with the endpoint that generates; engines take 16 helpers
		PauseMargin: 30,   // covers a short request that is let in meanwhile
		FirstShare:  0.75, // the rest is for what the estimate does not see
		SlotWaitMs:  150,  // a stream of 2.3 s, over 12 to 16 slots
		FullSlots:   1,    // tried: 0.95 scored the same
		PackSlots:   0.75, // 0.5: within the noise; 0.9: worth 0.007 lower (24 days of 18 engines)
		PartMs:      250,  // the shortest pause of the sites; tried: 400 scored the same
		PartCost:    0.03, // decides between equals only
		EarlyHarm:   0.5,  // less than one late short request
		HarmAtOnce:  0.3,  // 0.1: worth of the long prompts 0.70, not 0.76 (24 days of 18 engines)
		HarmWaited:  0.4,  // an estimate; with HarmAtOnce a little under LateLoss
		LateHarm:    0.05, // 0.125: within the noise; any harm: short requests 0.78 in time, not 0.87
		LateLoss:    0.75, // a late answer is worth a quarter of one in time
		CleanMs:     60,   // two short prompts
		Headroom:    0.15, // tried, beside other changes: 0.25 about the same, none 0.01 to 0.08 less
		LongHarm:    2,    // three quarters of a middle prompt's value; 3.4: worth 0.01 lower
		PatientHarm: 13,   // the same of a long one's; 6: worth 0.008 lower (24 days of 18 engines)
		HoldUp:      0.2,  // an estimate
		ReadMargin:  1.2,  // covers the pass that is under way; 1.5: worth 0.008 lower (24 days of 18 engines)
	}
}

// Choose picks endpoints of a service among the candidates.
func (p Policy) Choose(s *catalog.Service, w Work, all []Candidate) Choice {
	usable := usable(w, all)
	if len(usable) == 0 {
		return Choice{Endpoint: -1}
	}
	if s.Engine == nil {
		return p.plain(all, usable)
	}
	read := readMs(s.Engine, w.InputTokens)
	if read <= p.ShortMs {
		return p.short(s.Engine, w, read, all, usable)
	}
	return p.long(s.Engine, w, read, all, usable)
}

// TakesTurns reports whether a request waits for its turn to choose among the
// endpoints: long prompts do.
func (p Policy) TakesTurns(s *catalog.Service, w Work) bool {
	return s.Engine != nil && readMs(s.Engine, w.InputTokens) > p.ShortMs
}

// Oversize reports whether a prompt is larger than the memory of an endpoint.
func (p Policy) Oversize(s *catalog.Service, w Work) bool {
	return s.Engine != nil && p.isOversize(s.Engine, w)
}

func (p Policy) isOversize(e *catalog.Engine, w Work) bool {
	return w.InputTokens+w.OutputTokens > int(memoryShare*float64(e.MemoryTokens))
}

// usable returns the candidates to choose among: those not avoided, and the
// suspects only when there are no others.
func usable(w Work, all []Candidate) []int {
	var sound, rest []int
	for i := range all {
		switch {
		case slices.Contains(w.Avoid, all[i].ID):
		case all[i].Suspect:
			rest = append(rest, i)
		default:
			sound = append(sound, i)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return rest
}

// plain picks the endpoint with the fewest requests.
func (p Policy) plain(all []Candidate, usable []int) Choice {
	best := slices.MinFunc(usable, func(a, b int) int { return cmp.Compare(all[a].Load.Short, all[b].Load.Short) })
	return Choice{Endpoint: best, Loads: []Placed{{Candidate: best, Load: Load{Short: 1}}}}
}
