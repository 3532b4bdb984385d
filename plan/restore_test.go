package plan

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

func TestRestore(t *testing.T) {
	doc := &rudderv1.Document{Generation: 9, PlanId: "p9", History: []string{"p8", "p7"}}
	cases := []struct {
		name     string
		stored   *rudderv1.Document
		writeErr error
		discard  string
		want     result.Code
		after    string // plan id in the store
	}{
		{"ancestor", &rudderv1.Document{Generation: 7, PlanId: "p7"}, nil, "", 0, "p9"},
		{"emptied", nil, nil, "", 0, "p9"},
		{"already restored", doc, nil, "", 0, "p9"},
		{"newer", &rudderv1.Document{Generation: 10, PlanId: "p10"}, nil, "", result.PlanStale, "p10"},
		{"other plan of the same generation", &rudderv1.Document{Generation: 9, PlanId: "q"}, nil, "q", result.PlanStale, "q"},
		{"other history", &rudderv1.Document{Generation: 8, PlanId: "q8"}, nil, "", result.PlanStale, "q8"},
		{"other history, wrong plan discarded", &rudderv1.Document{Generation: 8, PlanId: "q8"}, nil, "p8", result.PlanStale, "q8"},
		{"other history, discarded", &rudderv1.Document{Generation: 8, PlanId: "q8"}, nil, "q8", 0, "p9"},
		{"older than the history", &rudderv1.Document{Generation: 6, PlanId: "p6"}, nil, "", result.PlanStale, "p6"},
		{"unavailable", &rudderv1.Document{Generation: 7, PlanId: "p7"}, metastore.ErrUnavailable, "", result.PlatformAway, "p7"},
		{"changed concurrently", &rudderv1.Document{Generation: 7, PlanId: "p7"}, metastore.ErrConflict, "", result.PlanStale, "p7"},
		{"response lost", &rudderv1.Document{Generation: 7, PlanId: "p7"}, metastore.ErrUnknown, "", result.PlanUnknown, "p7"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &memoryStore{writeErr: c.writeErr}
			if c.stored != nil {
				m.put(t, c.stored)
			}
			_, err := Restore(context.Background(), m, doc, c.discard)
			is.Equal(codeOf(err), c.want)
			cur, _, err := Accepted(context.Background(), m)
			is.NoErr(err)
			is.Equal(cur.PlanId, c.after)
		})
	}
}
