package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/micarudder/micarudder/internal/fleet"
	standplatform "github.com/micarudder/micarudder/internal/standin/platform"
)

// namingPort is the base port of the benchmark's processes.
const namingPort = 22100

// BenchmarkNaming measures an unrepeatable request of one token over real
// processes for each way to name it, with the platform's writes and reads per
// request.
func BenchmarkNaming(b *testing.B) {
	f := startFleet(b, fleet.Config{
		BasePort: namingPort, DataCentres: []string{"hall-petrzalka"}, Engines: 1, Gateways: 1, Policy: "default", Models: []string{model},
		Workspaces: []fleet.Workspace{{Name: "bid-desk", Key: bearer, Weight: 1}}, MemoryTokens: 450_000, MaxRunning: 64,
	})
	batch := strings.Replace(onceTicket, `"count":1`, `"count":100`, 1)
	var tickets []string
	namings := []struct {
		name string
		set  func(h http.Header, i int)
	}{
		{"none", func(http.Header, int) {}},
		{"tickets in batches", func(h http.Header, _ int) {
			if len(tickets) == 0 {
				tickets = fetchTickets(b, f, batch)
			}
			h.Set("Rudder-Ticket", tickets[0])
			tickets = tickets[1:]
		}},
		{"one ticket each", func(h http.Header, _ int) { h.Set("Rudder-Ticket", fetchTickets(b, f, onceTicket)[0]) }},
		{"bare key", func(h http.Header, i int) { h.Set("Idempotency-Key", strconv.Itoa(b.N)+"-"+strconv.Itoa(i)) }},
	}
	for _, w := range namings {
		b.Run(w.name, func(b *testing.B) {
			before := platformCounts(b, f)
			for i := range b.N {
				h := http.Header{"Rudder-Repeatable": {"false"}}
				w.set(h, i)
				post(b, f, chatPath, chat(w.name+strconv.Itoa(i), 1, false), h)
			}
			after := platformCounts(b, f)
			b.ReportMetric(float64(after.Txn-before.Txn)/float64(b.N), "writes/op")
			b.ReportMetric(float64(after.Range-before.Range)/float64(b.N), "reads/op")
		})
	}
}

func fetchTickets(b *testing.B, f *fleet.Fleet, body string) []string {
	var out struct{ Tickets []string }
	if err := json.Unmarshal(post(b, f, "/v1/tickets", body, http.Header{}), &out); err != nil || len(out.Tickets) == 0 {
		b.Fatalf("cannot fetch tickets: %v", err)
	}
	return out.Tickets
}

func post(b *testing.B, f *fleet.Fleet, path, body string, h http.Header) []byte {
	req, err := http.NewRequestWithContext(b.Context(), "POST", f.Gateways[0]+path, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header = h
	req.Header.Set("Authorization", "Bearer "+bearer)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %s %v", resp.StatusCode, raw, err)
	}
	return raw
}

func platformCounts(b *testing.B, f *fleet.Fleet) (c standplatform.Counts) {
	resp, err := http.Get("http://" + f.Platform + "/counts")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		b.Fatal(err)
	}
	return c
}
