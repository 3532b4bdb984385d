package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/declaration"
	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/rudderv1"
)

// The planned fleet size.
const (
	largeWorkspaces  = 400
	largeModels      = 40
	largeEndpoints   = 2900
	largeDataCentres = 16
)

// largeDocument returns a document of that fleet size with a full history.
func largeDocument() *rudderv1.Document {
	d := &rudderv1.Document{Generation: 1000, PlanId: largeID("plan", 1000)[:2*idBytes]}
	for i := range document.HistoryLen {
		d.History = append(d.History, largeID("plan", i)[:2*idBytes])
	}
	for i := range largeEndpoints {
		dc := fmt.Sprintf("hall-%02d", i%largeDataCentres)
		host := fmt.Sprintf("%s-w%04d", dc, i)
		d.Hosts = append(d.Hosts, &rudderv1.Host{Name: host, DataCentre: dc})
		d.Endpoints = append(d.Endpoints, &rudderv1.Endpoint{
			Name: fmt.Sprintf("%s-%04d", dc, i), Host: host, DataCentre: dc,
			AgentAddress: fmt.Sprintf("10.%d.%d.%d:7200", i%largeDataCentres, i/200, i%200+1),
			MemoryTokens: 450_000, Role: "mixed", MaxModels: 1, ChecksFencing: i%2 == 0,
		})
	}
	for i := range largeModels {
		m := &rudderv1.Model{
			Name: fmt.Sprintf("rudder-llm-%02d", i), Version: "2026.03", Weights: fmt.Sprintf("rudder-llm-%02d/2026.03", i),
			WeightBytes: 140 << 30, MaxTokens: 1_000_000, Floor: 6, Replicas: make(map[string]uint32),
			Adapters: []*rudderv1.Adapter{{Name: "settlement", Version: "3", Weights: "settlement-3"}},
		}
		for z := range largeDataCentres {
			if (z+i)%2 == 0 {
				m.Replicas[fmt.Sprintf("hall-%02d", z)] = 9
			}
		}
		d.Models = append(d.Models, m)
	}
	for i := range largeWorkspaces {
		w := &rudderv1.Workspace{
			Name: fmt.Sprintf("workspace-%03d", i), KeyDigests: []string{largeID("a", i), largeID("b", i)},
			Priority: uint32(i % 10), Weight: 10, RequestsPerSecond: 50, TokensPerSecond: 400_000, MaxInFlight: 200,
		}
		for m := range 4 {
			w.Models = append(w.Models, fmt.Sprintf("rudder-llm-%02d", (i+m*10)%largeModels))
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d
}

// largeID returns a pseudo-random id in hex.
func largeID(kind string, i int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s-%d", kind, i))
	return hex.EncodeToString(sum[:])
}

// withNewModelVersion returns a copy of the document with a new version of one model.
func withNewModelVersion(d *rudderv1.Document) *rudderv1.Document {
	next := proto.CloneOf(d)
	next.Models[0].Version = "2026.04"
	return next
}

// TestLargeDocument checks that a document of the planned fleet size is stored in a quarter
// of the platform's size limit and that a change to one model gives a delta of at most 1000 bytes.
func TestLargeDocument(t *testing.T) {
	d := largeDocument()
	stored, err := document.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	back, err := document.Decode(stored)
	if err != nil || !proto.Equal(d, back) {
		t.Fatalf("decoded document differs: %v", err)
	}
	ini := declaration.Render(d)
	t.Logf("uncompressed %d bytes, stored %d bytes, declarations %d bytes", proto.Size(d), len(stored), len(ini))
	next := withNewModelVersion(d)
	next.Generation, next.PlanId, next.History = d.Generation+1, largeID("plan", 1001)[:2*idBytes], document.History(d)
	delta := document.Diff(d, next)
	t.Logf("delta for a new version of one model: %d bytes", proto.Size(delta))
	const deltaLimit = 1000
	if proto.Size(delta) > deltaLimit {
		t.Fatalf("delta is %d bytes, the limit is %d", proto.Size(delta), deltaLimit)
	}
	const limit = 250_000 // a quarter of the platform's limit
	if len(stored) > limit {
		t.Fatalf("stored document is %d bytes, the limit is %d", len(stored), limit)
	}
}

func BenchmarkParseLarge(b *testing.B) {
	ini := declaration.Render(largeDocument())
	for b.Loop() {
		if _, err := declaration.Parse(declaration.File{Name: "d.ini", Data: ini}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMakeLarge(b *testing.B) {
	d := largeDocument()
	next := withNewModelVersion(d)
	for b.Loop() {
		p, err := Make(d, next, Options{})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(p.Steps)), "orders")
	}
}

func BenchmarkEncodeLarge(b *testing.B) {
	d := largeDocument()
	for b.Loop() {
		if _, err := document.Encode(d); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeLarge(b *testing.B) {
	value, err := document.Encode(largeDocument())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := document.Decode(value); err != nil {
			b.Fatal(err)
		}
	}
}
