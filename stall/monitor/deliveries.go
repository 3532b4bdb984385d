package monitor

import (
	"sync"
	"time"

	"github.com/micarudder/micarudder/stall"
)

// Deliveries records when endpoints last delivered an event on any monitored stream. It is safe for concurrent
// use.
type Deliveries struct {
	mu      sync.Mutex
	records *stall.Deliveries
}

// NewDeliveries returns an empty record.
func NewDeliveries() *Deliveries { return &Deliveries{records: stall.NewDeliveries()} }

// Endpoints returns the endpoints that have monitored streams.
func (d *Deliveries) Endpoints() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records.Endpoints()
}

func (d *Deliveries) begin(endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Begin(endpoint)
}

func (d *Deliveries) end(endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.End(endpoint)
}

func (d *Deliveries) record(endpoint string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Record(endpoint, now)
}

func (d *Deliveries) deliveredSince(endpoint string, t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records.DeliveredSince(endpoint, t)
}
