package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/internal/fleet"
	standplatform "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	startTime = 20 * time.Second
	stopTime  = 10 * time.Second
	// firstReports is the time that the agents take to send every gateway its rank.
	firstReports = 6 * time.Second
)

// liveFleet is a running fleet whose configuration can be changed.
type liveFleet struct {
	*fleet.Fleet
	dir      string
	store    *metastore.Client
	doc      *rudderv1.Document
	revision int64 // revision of doc
}

// start starts a fleet of gateways and agents on a loopback address.
func (o options) start(ctx context.Context, address string, gateways, agents int) (*liveFleet, error) {
	dir, err := os.MkdirTemp("", "micarudder-spread-")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := fleet.Config{
		BinDir: o.BinDir, Dir: dir, Address: address, BasePort: o.BasePort, DataCentres: []string{"hall-petrzalka"},
		Engines: agents, SharedService: "bid-api", Gateways: gateways, Policy: "default", MaxRunning: 64, LogLevel: "warn",
	}
	for i := range 10 {
		c.Workspaces = append(c.Workspaces, fleet.Workspace{Name: fmt.Sprintf("workspace-%d", i), Key: fmt.Sprint("key-", i)})
	}
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return nil, trace.NewAggregate(err, os.RemoveAll(dir))
	}
	r := &liveFleet{Fleet: f, dir: dir, doc: c.Document()}
	if err := r.open(ctx); err != nil {
		return nil, trace.NewAggregate(err, r.stop())
	}
	return r, nil
}

func (r *liveFleet) open(ctx context.Context) error {
	var err error
	if r.store, err = metastore.NewClient(metastore.Options{Addresses: []string{r.Platform}}); err != nil {
		return err
	}
	e, err := r.store.Get(ctx, metastore.KeyDocument)
	r.revision = e.Revision
	return trace.Wrap(err)
}

func (r *liveFleet) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	return trace.NewAggregate(r.Group.Stop(ctx), os.RemoveAll(r.dir))
}

// confirm writes the next generation, in which the weight of one workspace
// differs, and returns the start time of the write.
func (r *liveFleet) confirm(ctx context.Context) (began time.Time, err error) {
	next := proto.CloneOf(r.doc)
	next.Generation++
	next.PlanId = fmt.Sprint("plan-", next.Generation)
	next.History = document.History(r.doc)
	next.Workspaces[next.Generation%uint64(len(next.Workspaces))].Weight++
	value, err := document.Encode(next)
	if err != nil {
		return began, err
	}
	began = time.Now()
	e, err := r.store.CompareAndSwap(ctx, metastore.KeyDocument, r.revision, value, 0)
	if err != nil {
		return began, trace.Wrap(err)
	}
	r.doc, r.revision = next, e.Revision
	return began, nil
}

// counts returns the call counts of the platform's stand-in.
func (r *liveFleet) counts(ctx context.Context) (c standplatform.Counts, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Platform+"/counts", nil)
	if err != nil {
		return c, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c, trace.Wrap(json.NewDecoder(resp.Body).Decode(&c))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
