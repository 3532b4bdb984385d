package balance

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

// Default returns the policy that runs. A figure's comment says what it guards
// against or what it gains: "worth" is the part of what the requests of a day were
// worth that callers got, without what processors cost, on days of 34 s with
// faults before 18 engines, 24 or 48 days for each figure, with the same arrivals
// for both values; standard errors are 0.003 to 0.009. Differences below two of them
// are called none. An estimate was not varied.
func Default() Policy {
	return Policy{
		ShortMs:     60,   // an estimate: a pass with two such prompts is under 250 ms
		MaxHelpers:  15,   // 16 parts with the endpoint that generates; engines take 16 helpers
		PauseMargin: 30,   // ms; covers a short request that is let in meanwhile
		FirstShare:  0.75, // the rest is for what the estimate does not see; 0.57 and 0.9: none
		SlotWaitMs:  150,  // an estimate: a stream of 2.3 s, over 12 to 16 slots
		FullSlots:   1,    // 0.9: none
		PackSlots:   0.75, // 0.5: none; 0.9: worth 0.007 lower, a late word fills an endpoint
		PartMs:      250,  // ms, the shortest pause that routes allow; 450: none
		PartCost:    0.03, // decides between equals; 0.15: none
		EarlyHarm:   0.5,  // less than one late short request
		HarmAtOnce:  0.3,  // 0.1: worth 0.012 lower, of long prompts 0.70 instead of 0.76; 0.15 and 0.5: none
		HarmWaited:  0.4,  // an estimate: with HarmAtOnce a little under LateLoss
		LateHarm:    0.05, // 0.125: none; without a limit worth of short requests 0.78 instead of 0.86
		CleanMs:     60,   // ms, two short prompts; 120, 200 and 400: none
		Headroom:    0.15, // none: worth 0.01 to 0.08 lower, measured beside other changes on six days
		LateLoss:    0.75, // a late answer is worth a quarter of one in time
		LongHarm:    2,    // half of what a middle prompt loses; 3.4: worth about 0.01 lower; 1: none
		PatientHarm: 13,   // what a long one loses; 6: none
		HoldUp:      0.2,  // an estimate; 0.5: none
		ReadMargin:  1.2,  // covers the pass that is under way; 1 and 1.5: none
	}
}
