package generation

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/rudderv1"
)

func doc(generation uint64, plan string, hosts int) *rudderv1.Document {
	d := &rudderv1.Document{Generation: generation, PlanId: plan}
	for i := range hosts {
		d.Hosts = append(d.Hosts, &rudderv1.Host{Name: fmt.Sprintf("host-%03d", i), DataCentre: "cdf-a"})
	}
	return d
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name  string
		offer *rudderv1.OfferRequest
		want  OfferResult
		err   error
	}{
		{"nothing", nil, Same, nil},
		{"no document", &rudderv1.OfferRequest{Have: 9}, Same, nil},
		{"the same", &rudderv1.OfferRequest{Document: doc(5, "p5", 1)}, Same, nil},
		{"newer", &rudderv1.OfferRequest{Document: doc(6, "p6", 0)}, Newer, nil},
		{"much newer", &rudderv1.OfferRequest{Document: doc(90, "p90", 0)}, Newer, nil},
		{"older", &rudderv1.OfferRequest{Document: doc(4, "p4", 0)}, Older, nil},
		{"other content", &rudderv1.OfferRequest{Document: doc(5, "q5", 0)}, Diverged, nil},
		{"delta", &rudderv1.OfferRequest{Delta: document.Diff(doc(5, "p5", 1), doc(6, "p6", 2))}, Newer, nil},
		{"delta from another base", &rudderv1.OfferRequest{Delta: document.Diff(doc(4, "p4", 1), doc(6, "p6", 2))}, Same, document.ErrBaseMismatch},
		{"delta from a base of the same generation with another plan", &rudderv1.OfferRequest{Delta: document.Diff(doc(5, "q5", 1), doc(6, "p6", 2))}, Same, document.ErrBaseMismatch},
		{"delta to the same", &rudderv1.OfferRequest{Delta: document.Diff(doc(4, "p4", 1), doc(5, "p5", 1))}, Same, nil},
		{"delta to an older one", &rudderv1.OfferRequest{Delta: document.Diff(doc(3, "p3", 1), doc(4, "p4", 1))}, Older, nil},
		{"delta to other content", &rudderv1.OfferRequest{Delta: document.Diff(doc(4, "p4", 1), doc(5, "q5", 1))}, Diverged, nil},
		{"empty delta", &rudderv1.OfferRequest{Delta: &rudderv1.DocumentDelta{}}, Same, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := NewTracker()
			is.Equal(k.Offer(doc(5, "p5", 1)), Newer)
			got, err := k.ApplyOffer(c.offer)
			is.Equal(got, c.want)
			is.True(errors.Is(err, c.err))
			is.Equal(k.Generation() > 5, c.want == Newer)
		})
	}
}

// TestUpdate checks that an update brings a receiver of any generation to the current
// document and is never longer than the complete document.
func TestUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receivers := NewTracker(), []*Tracker{NewTracker()}
		for gen := range uint64(8) {
			d := doc(gen*2+1, fmt.Sprint("p", gen), rapid.IntRange(0, 50).Draw(t, "hosts"))
			sender.Offer(d)
			r := NewTracker()
			r.Offer(d)
			receivers = append(receivers, r)
		}
		for _, r := range receivers {
			u := sender.Update(r.Generation())
			if proto.Size(u) > proto.Size(&rudderv1.OfferRequest{Document: sender.Document()}) {
				t.Fatalf("from %d: the update is longer than the complete document", r.Generation())
			}
			if _, err := r.ApplyOffer(u); err != nil || !proto.Equal(r.Document(), sender.Document()) {
				t.Fatalf("from %d: %v", r.Generation(), err)
			}
		}
	})
}

func TestUpdateForms(t *testing.T) {
	is := is.New(t)
	k := NewTracker()
	for gen := range uint64(10) {
		k.Offer(doc(gen+1, fmt.Sprint("p", gen+1), 100))
	}
	for have := range uint64(12) {
		u := k.Update(have)
		is.Equal(u == nil, have >= 10)
		is.Equal(u.GetDelta() != nil, have < 10 && have >= 10-MaxDeltaBases)
		is.Equal(u.GetDocument() != nil, have < 10-MaxDeltaBases)
	}
}
