package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/micarudder/micarudder/routing"
)

// Bounds of the histograms, in microseconds.
const (
	histLowest  = 1
	histHighest = int64(2 * time.Hour / time.Microsecond)
	histDigits  = 3
)

// Quantiles summarizes a set of durations, in seconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Summary is the result of one load run. Latencies cover measured requests only;
// Finals and Breaches count all requests.
type Summary struct {
	Seed     uint64  `json:"seed"`
	Load     float64 `json:"load"`
	Duration float64 `json:"duration_s"` // of the measured arrivals
	Requests int     `json:"requests"`

	Finals   map[Final]int  `json:"finals"`
	Codes    map[string]int `json:"codes"` // result codes of requests not answered whole
	Breaches map[Breach]int `json:"breaches"`
	Examples []Record       `json:"examples,omitempty"` // the first records with breaches
	// Reruns counts executions of repeatable requests beyond the first.
	Reruns int `json:"reruns"`
	// Joined is false when the records of an executor are missing, so that
	// executions were not checked.
	Joined     bool `json:"joined"`
	Resubmits  int  `json:"resubmits"`
	Reattached int  `json:"reattached"`
	Restarts   int  `json:"restarts"`

	Classes  []ClassSummary `json:"classes"`
	Refusals Quantiles      `json:"refusals"` // time from sending to the refusal
	// UsefulTokens is the number of prompt and answer tokens per second of
	// requests that were answered completely within their deadlines and ended
	// while requests still arrived. LongTokens is the part of classes above 32k.
	UsefulTokens float64 `json:"useful_tokens_per_s"`
	LongTokens   float64 `json:"long_tokens_per_s"`
}

// ClassSummary summarizes the requests of one prompt length class.
type ClassSummary struct {
	Class      string    `json:"class"`
	Requests   int       `json:"requests"`
	Whole      int       `json:"whole"`
	Refused    int       `json:"refused"`
	FirstToken Quantiles `json:"first_token_s"`
	Took       Quantiles `json:"took_s"`

	FirstTokenHist *hdrhistogram.Histogram `json:"-"`
}

// maxExamples limits the records with breaches that a summary contains.
const maxExamples = 20

// Summarize computes the summary of the records of one load run.
func Summarize(m *Mix, seed uint64, load float64, records []Record) *Summary {
	s := &Summary{Seed: seed, Load: load, Finals: map[Final]int{}, Codes: map[string]int{}, Breaches: map[Breach]int{}, Joined: true}
	s.Duration = (m.Run.Duration - m.Run.Warmup).Seconds()
	for _, r := range records {
		s.count(r)
	}
	s.summarizeClasses(records)
	s.summarizeRefusals(records)
	s.countTokens(m, records)
	return s
}

func (s *Summary) count(r Record) {
	s.Requests++
	s.Finals[r.Final]++
	if r.Final != Whole && r.Code != 0 {
		s.Codes[r.Code.String()]++
	}
	s.Joined = s.Joined && r.Executions != executionsUnknown
	s.Resubmits += r.Resubmits
	s.Reattached += r.Reattached
	s.Restarts += r.Restarts
	if r.Repeatable {
		s.Reruns += max(0, r.Executions-1-r.Anew)
	}
	found := Check(r)
	for _, b := range found {
		s.Breaches[b]++
	}
	if len(found) > 0 && len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, r)
	}
}

func (s *Summary) summarizeClasses(records []Record) {
	for c := range routing.Class(routing.NumClasses) {
		s.Classes = append(s.Classes, summarizeClass(c, records))
	}
}

func summarizeClass(c routing.Class, records []Record) ClassSummary {
	first, took := newHist(), newHist()
	out := ClassSummary{Class: c.String(), FirstTokenHist: first}
	for _, r := range records {
		if r.Class != c || !r.Measured {
			continue
		}
		out.Requests++
		switch r.Final {
		case Refused:
			out.Refused++
		case Whole:
			out.Whole++
			record(took, r.Took())
		}
		if r.FirstToken > 0 {
			record(first, r.TimeToFirstToken())
		}
	}
	out.FirstToken, out.Took = quantiles(first), quantiles(took)
	return out
}

func (s *Summary) summarizeRefusals(records []Record) {
	h := newHist()
	for _, r := range records {
		if r.Final == Refused && r.Presentations == 1 {
			record(h, r.End-r.Sent)
		}
	}
	s.Refusals = quantiles(h)
}

// countTokens counts the tokens of requests that ended after the warm-up and while
// requests still arrived. Requests queued at the end of the arrivals are left
// out, because the system did not complete them at that rate.
func (s *Summary) countTokens(m *Mix, records []Record) {
	if s.Duration <= 0 {
		return
	}
	for _, r := range records {
		if r.Final != Whole || !r.InTime() || r.End < m.Run.Warmup || r.End > m.Run.Duration {
			continue
		}
		n := float64(r.Prompt+r.Answer) / s.Duration
		s.UsefulTokens += n
		if r.Class >= routing.ClassLong {
			s.LongTokens += n
		}
	}
}

func newHist() *hdrhistogram.Histogram {
	return hdrhistogram.New(histLowest, histHighest, histDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), histLowest), histHighest)
	_ = h.RecordValue(v) // within the bounds, so it cannot fail
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return seconds(h.ValueAtQuantile(q)) }
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1e6,
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		Max:   seconds(h.Max()),
	}
}

func seconds(us int64) float64 { return float64(us) / 1e6 }
