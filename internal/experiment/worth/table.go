package main

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/micarudder/micarudder/internal/chart"
)

// window holds the totals of the requests that arrived in one time window or
// belong to one size.
type window struct {
	second int
	demand time.Duration // engine time needed for the prompts
	owed   float64       // worth of first attempts
	earned float64       // worth of answers
	// strict is earned minus the cost of requests that were held but not answered.
	strict  float64
	bounded float64
	lost    map[reason]float64
}

// report is the analysis of the logs of one run.
type report struct {
	fleet    fleet
	width    time.Duration
	requests []*request
	windows  []*window
	sizes    [sizes]window
}

// newReport assigns the requests to windows of the given width.
func newReport(f fleet, v values, width time.Duration, all []*request) *report {
	r := &report{fleet: f, width: width, requests: all}
	if len(all) == 0 {
		return r
	}
	begin := slices.MinFunc(all, func(a, b *request) int { return a.at.Compare(b.at) }).at
	fits := bound(f, v, owedRequests(all))
	bySecond := make(map[int]*window)
	for _, one := range all {
		second := int(one.at.Sub(begin)/width) * int(width.Seconds())
		w := bySecond[second]
		if w == nil {
			w = &window{second: second}
			bySecond[second] = w
		}
		w.add(f, v, one, fits[one])
		r.sizes[one.size()].add(f, v, one, fits[one])
	}
	for _, second := range slices.Sorted(maps.Keys(bySecond)) {
		r.windows = append(r.windows, bySecond[second])
	}
	return r
}

// lateShare is the fraction of its worth that a late answer retains.
const lateShare = 0.25

// owedRequests returns the requests whose worth is owed: first attempts of callers that had a
// valid key and did not leave early.
func owedRequests(all []*request) []*request {
	return slices.DeleteFunc(slices.Clone(all), func(r *request) bool { return r.retry || r.why == notOwed })
}

func (w *window) add(f fleet, v values, r *request, fits bool) {
	if w.lost == nil {
		w.lost = make(map[reason]float64)
	}
	worth := v.worthOf(r)
	w.demand += f.prefillTime(r.tokens)
	if r.why == notOwed {
		return
	}
	if fits {
		w.bounded += worth
	}
	if r.retry {
		w.addRetry(r, worth)
		return
	}
	w.owed += worth
	switch r.why {
	case inTime:
		w.earn(worth)
	case lateFirst, latePause, lateSlow:
		w.earn(worth * lateShare)
		w.lost[r.why] += worth * (1 - lateShare)
	default:
		w.lost[r.why] += worth
		w.strict -= worth * r.heldShare()
	}
}

// addRetry counts a retry. Its worth was lost with the first attempt, so an answer counts
// as a late one.
func (w *window) addRetry(r *request, worth float64) {
	switch r.why {
	case inTime, lateFirst, latePause, lateSlow:
		w.earn(worth * lateShare)
	default:
		w.strict -= worth * r.heldShare()
	}
}

func (w *window) earn(worth float64) {
	w.earned += worth
	w.strict += worth
}

// heldShare returns the fraction of its deadline for which an unanswered request was held.
func (r *request) heldShare() float64 {
	if r.deadline <= 0 {
		return 0
	}
	return min(1, float64(r.held)/float64(r.deadline))
}

// reasons lists the reasons for lost worth in the order of the table's columns.
var reasons = []reason{lateFirst, latePause, lateSlow, refusedQueue, refusedNever, refusedSlots, refusedSends, refusedStarting, broken, gaveUp, otherEnd}

// text writes the tables as plain text.
func (r *report) text(out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	head := "engine s/s\towed\tearned\tless holding\tbound"
	for _, why := range reasons {
		head += "\t" + string(why)
	}
	fmt.Fprintf(tab, "second\t%s\n", head)
	for _, w := range r.windows {
		fmt.Fprintf(tab, "%d\t%s\n", w.second, w.row(r.width))
	}
	fmt.Fprintf(tab, "\nprompt tokens\t%s\n", strings.Replace(head, "engine s/s", "engine s", 1))
	for s := range r.sizes {
		fmt.Fprintf(tab, "%s\t%s\n", size(s), r.sizes[s].row(time.Second))
	}
	fmt.Fprintf(tab, "\nprompt tokens\tendpoint\tn\texpected p50\tmeasured p50\texpected p95\tmeasured p95\tpause p50\tpause p95\n")
	for s := range sizes {
		for _, busy := range []bool{false, true} {
			r.modelError(tab, s, busy)
		}
	}
	return tab.Flush()
}

func (w *window) row(width time.Duration) string {
	cells := fmt.Sprintf("%.1f\t%.0f\t%.0f\t%.0f\t%.0f", w.demand.Seconds()/width.Seconds(), w.owed, w.earned, w.strict, w.bounded)
	for _, why := range reasons {
		cells += fmt.Sprintf("\t%.0f", w.lost[why])
	}
	return cells
}

// modelError writes the expected and the measured times to the first event for one size
// and for idle or busy endpoints.
func (r *report) modelError(out io.Writer, s size, busy bool) {
	var expected, measured, gaps []time.Duration
	for _, one := range r.requests {
		if one.size() != s || one.busy != busy || one.expected == 0 || one.first < 0 {
			continue
		}
		expected = append(expected, one.expected)
		measured = append(measured, one.first)
		gaps = append(gaps, one.gap)
	}
	if len(measured) == 0 {
		return
	}
	name := "idle"
	if busy {
		name = "busy"
	}
	fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s, name, len(measured),
		quantile(expected, 0.5), quantile(measured, 0.5), quantile(expected, 0.95), quantile(measured, 0.95), quantile(gaps, 0.5), quantile(gaps, 0.95))
}

// quantile sorts the durations and returns a quantile in milliseconds.
func quantile(d []time.Duration, q float64) int64 {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Milliseconds()
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>Where the worth is lost</title>
{{.Load}}{{.Worth}}<pre>{{.Text}}</pre>
`))

// html writes the tables and two charts as one HTML page.
func (r *report) html(out io.Writer) error {
	var seconds, demand, capacity, owed, earned, bounded []float64
	for _, w := range r.windows {
		seconds = append(seconds, float64(w.second))
		demand = append(demand, w.demand.Seconds()/r.width.Seconds())
		capacity = append(capacity, float64(r.fleet.endpoints))
		owed, earned, bounded = append(owed, w.owed), append(earned, w.earned), append(bounded, w.bounded)
	}
	load, err := chart.Chart{Title: "Reading asked for", XLabel: "seconds", YLabel: "engine seconds a second", Series: []chart.Series{
		{Name: "asked", X: seconds, Y: demand}, {Name: "engines", X: seconds, Y: capacity}}}.SVG()
	if err != nil {
		return err
	}
	worth, err := chart.Chart{Title: "Worth", XLabel: "seconds", YLabel: "in short requests", Series: []chart.Series{
		{Name: "owed", X: seconds, Y: owed}, {Name: "earned", X: seconds, Y: earned}, {Name: "bound", X: seconds, Y: bounded}}}.SVG()
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := r.text(&text); err != nil {
		return err
	}
	return page.Execute(out, struct {
		Load, Worth template.HTML
		Text        string
	}{load, worth, text.String()})
}
