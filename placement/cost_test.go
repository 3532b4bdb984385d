package placement

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/micarudder/micarudder/rudderv1"
)

// largeDataCentre returns a document with one data centre of the size that the
// fleet is planned to reach: 181 engines, of which the given number is spare,
// and 20 models.
func largeDataCentre(spare int) *rudderv1.Document {
	const engines, models = 181, 20
	d := new(rudderv1.Document)
	for i := range engines {
		d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{Name: fmt.Sprintf("hall-%03d", i), DataCentre: dc, Role: "mixed"})
	}
	left := engines - spare
	for i := range models {
		n := left / (models - i)
		left -= n
		d.Models = append(d.Models, &rudderv1.Model{
			Name: fmt.Sprintf("m%02d", i), Version: "1", Floor: uint32(n * 2 / 3), Replicas: map[string]uint32{dc: uint32(n)},
		})
	}
	return d
}

func allLive(d *rudderv1.Document) map[string]bool {
	live := make(map[string]bool)
	for _, e := range d.Endpoints {
		live[e.Name] = true
	}
	return live
}

// TestReassignmentsOnEndpointLoss bounds how many other endpoints get a new
// assignment when one endpoint is lost, for every endpoint of a data centre with
// few or many spare engines.
func TestReassignmentsOnEndpointLoss(t *testing.T) {
	const maxMean, maxWorst = 4.0, 8
	for _, spare := range []int{1, 36} {
		d := largeDataCentre(spare)
		live := allLive(d)
		before := AssignIn(d, dc, live)
		total, worst := 0, 0
		for _, gone := range d.Endpoints {
			live[gone.Name] = false
			n := changed(before, AssignIn(d, dc, live), gone.Name)
			live[gone.Name] = true
			total += n
			worst = max(worst, n)
		}
		mean := float64(total) / float64(len(d.Endpoints))
		t.Logf("%d spare of %d: %.1f other endpoints change on average, %d at most", spare, len(d.Endpoints), mean, worst)
		if mean > maxMean || worst > maxWorst {
			t.Errorf("%d spare: more than %.0f on average or %d at most", spare, maxMean, maxWorst)
		}
	}
}

// changed returns the number of endpoints other than gone whose assignment
// differs.
func changed(before, after Assignments, gone string) int {
	n := 0
	for name := range before {
		if name != gone && !reflect.DeepEqual(before[name], after[name]) {
			n++
		}
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			n++
		}
	}
	return n
}

func BenchmarkAssignLargeDataCentre(b *testing.B) {
	d := largeDataCentre(9)
	live := allLive(d)
	for b.Loop() {
		AssignIn(d, dc, live)
	}
}

func BenchmarkNextLargeDataCentre(b *testing.B) {
	d := largeDataCentre(9)
	live := allLive(d)
	view := make(View)
	assigned := AssignIn(d, dc, live)
	for _, e := range d.Endpoints {
		view[e.Name] = EndpointState{Serving: true, Role: "mixed"}
	}
	for b.Loop() {
		Next(d, dc, assigned, view)
	}
}
