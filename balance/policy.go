package balance

// Policy holds the parameters of endpoint selection. Times are in milliseconds.
// Interference is the cost that a placement causes other requests, in late short
// requests; a prompt's value has the same unit, see Request.value.
type Policy struct {
	ShortPrefillMs float64 // a prompt that takes no longer to prefill is short
	MaxHelpers     int     // maximum number of helpers of one request
	// LongPartMs is the prefill time above which a part of a prompt costs more, because
	// it keeps the endpoint from other requests for long. PartCost is the fixed cost of
	// each part.
	LongPartMs float64
	PartCost   float64
	// MaxQueuedMs is the longest prefill that may be pending on an endpoint that is
	// given a part. Engines prefill the newest part first, so queued parts delay the
	// oldest one and the prompt that it belongs to.
	MaxQueuedMs float64
	// BaseInterference is the interference that a long prompt that can be in time may
	// always cause. It may cause more as a share of its own value: ArrivalInterference
	// on arrival, rising by WaitedInterference until its time to wait is over. A late
	// prompt may cause LateInterference of its value instead.
	BaseInterference    float64
	ArrivalInterference float64
	WaitedInterference  float64
	LateInterference    float64
	// IdleReserve is the share of the endpoints that a prompt larger than one
	// endpoint's memory leaves without prefill work.
	IdleReserve float64
	// LateValueLoss is the share of its value that a prompt loses when it is served
	// late.
	LateValueLoss float64
	// LongGapCost is the cost of a late event to a long request, and TolerantGapCost to
	// one whose route allows the longest gaps. PartDelayCost is the cost of delaying a
	// part of another prompt, relative to delaying the prompt itself.
	LongGapCost     float64
	TolerantGapCost float64
	PartDelayCost   float64
	// PrefillMargin is the factor by which the prefill of a part may exceed its
	// estimate.
	PrefillMargin float64
	// GapMargin is how much shorter an iteration should be than the gap that the routes
	// allow. Short requests are held to the shortest gap, gap-tolerant ones to the
	// longest, other long requests to the next one above the shortest.
	GapMargin float64
	// FirstEventShare is the share of the remaining time within which the first event
	// of a short request should be expected.
	FirstEventShare float64
	// SlotWaitMs is the expected wait per queued request for a slot of an endpoint
	// whose slots are all in use.
	SlotWaitMs float64
	// SaturatedShare is the share of all slots of all endpoints at which, once in use,
	// short requests that would be late are refused.
	SaturatedShare float64
	// PackedShare is the share of an endpoint's slots up to which short requests are
	// packed onto it.
	PackedShare float64
	// SharedSlots is set if a short request or one to a plain service is not placed at an endpoint
	// whose slots are all in use while another one can serve it in time.
	SharedSlots bool
}

// Default returns the policy that gateways use. The comments give the reason for a value
// and the effect of others on the served value: the share of the value of all requests
// that callers receive, less the cost of processors. The figures hold for 18 engines with
// faults.
func Default() Policy {
	return Policy{
		ShortPrefillMs:      60,   // an iteration that prefills two such prompts takes less than 250 ms
		MaxHelpers:          15,   // 16 parts with the decoding endpoint; engines accept 16 helpers
		GapMargin:           30,   // covers a short request that is admitted meanwhile
		FirstEventShare:     0.75, // the rest covers what the estimate leaves out
		SlotWaitMs:          150,  // a stream takes 2.3 s, divided by 12 to 16 slots
		SaturatedShare:      1,
		PackedShare:         0.75, // at 0.9 a delayed load update fills an endpoint and served value drops by 0.007
		LongPartMs:          250,  // the shortest gap that routes allow
		PartCost:            0.03, // decides between equal splits
		BaseInterference:    0.5,  // less than one late short request
		ArrivalInterference: 0.3,  // 0.1 lowers served value by 0.012, and that of long prompts from 0.76 to 0.70
		WaitedInterference:  0.4,  // with ArrivalInterference slightly below LateValueLoss
		LateInterference:    0.05, // without a limit the served value of short requests drops from 0.86 to 0.78
		MaxQueuedMs:         60,   // two short prompts
		IdleReserve:         0.15, // 0 lowers served value by 0.01 to 0.08, together with other changes
		LateValueLoss:       0.75, // a late response has a quarter of the value of one in time
		LongGapCost:         2,    // half of the loss of a medium prompt; 3.4 lowers served value by about 0.01
		TolerantGapCost:     13,   // the loss of a gap-tolerant prompt
		PartDelayCost:       0.2,
		PrefillMargin:       1.2, // covers the iteration in progress
	}
}
