package metastore

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// maxFrame bounds the bytes of one line of a watch.
const maxFrame = 8 << 20

// watchGrace is the time that a watch has to deliver what a check has found.
const watchGrace = time.Second

var (
	errStalled  = errors.New("watch is open but does not deliver")
	errCanceled = errors.New("watch canceled by the service")
	errEnded    = errors.New("watch ended")
	errOverdue  = errors.New("watch not accepted in time")
)

// Watch implements Store. While nothing arrives it checks every
// Options.WatchCheck, by reading the key's revision, that the watch is still
// being served, and ends with ErrUnavailable when it is not. after is the
// revision of an entry of this key that the caller has, or 0; a store whose
// state is older ends the watch with a RestoredError.
func (c *Client) Watch(ctx context.Context, key string, after int64, fn func(Entry)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &watch{client: c, key: key, last: after, fn: fn}
	next, err := w.catchUp(ctx)
	if err != nil {
		return err
	}
	body, err := c.openWatch(ctx, cancel, key, next)
	if err != nil {
		return err
	}
	defer body.Close()
	c.counters.watches.Inc()
	defer c.counters.watches.Dec()
	return w.run(ctx, body)
}

// watch is the state of one Watch call.
type watch struct {
	client  *Client
	key     string
	last    int64 // revision of the last entry reported
	deleted bool  // the last report was a deletion
	behind  int64 // revision that a check has found and that is still missing
	fn      func(Entry)
}

// report passes a newer entry on and drops an old one.
func (w *watch) report(e Entry) {
	if e.Revision <= w.last {
		w.client.counters.dropped.Inc()
		return
	}
	w.last = e.Revision
	w.deleted = e.Value == nil
	w.fn(e)
}

// catchUp reports the key's current value if it is newer and returns the
// revision from which the watch has to start. The value is read only when it
// is newer, since all watches come back at once after an outage.
func (w *watch) catchUp(ctx context.Context) (next int64, err error) {
	if w.last > 0 {
		revision, at, err := w.peek(ctx)
		if err != nil {
			return 0, err
		}
		if revision <= w.last {
			return at + 1, nil
		}
	}
	res, err := w.client.rangeCall(ctx, etcdjson.RangeRequest{Key: []byte(w.key)})
	if err != nil {
		return 0, err
	}
	at := int64(res.Header.Revision)
	if len(res.Kvs) > 0 {
		w.report(entryOf(w.key, res.Kvs[0]))
	} else if w.last > 0 {
		w.report(Entry{Key: w.key, Revision: at})
	}
	return at + 1, nil
}

// peek reads the key's revision without its value; a deleted key counts as
// changed at the store's own revision, at.
func (w *watch) peek(ctx context.Context) (revision, at int64, err error) {
	res, err := w.client.rangeCall(ctx, etcdjson.RangeRequest{Key: []byte(w.key), KeysOnly: true})
	if err != nil {
		return 0, 0, err
	}
	at = int64(res.Header.Revision)
	revision = at
	if len(res.Kvs) > 0 {
		revision = int64(res.Kvs[0].ModRevision)
	} else if w.last == 0 || w.deleted {
		revision = w.last
	}
	if at < w.last || revision < w.last {
		return 0, 0, &RestoredError{Kind: KindRange, Seen: w.last, Now: revision}
	}
	return revision, at, nil
}

// run reports what arrives until the watch breaks, stalls or ctx ends.
func (w *watch) run(ctx context.Context, body io.Reader) error {
	frames := make(chan etcdjson.WatchResponse)
	ended := make(chan error, 1)
	go func() { ended <- readFrames(ctx, body, frames) }()
	check := time.NewTimer(w.checkIn())
	defer check.Stop()
	for {
		select {
		case f := <-frames:
			w.client.contact()
			if w.deliver(f) {
				check.Reset(w.checkIn())
			}
		case <-check.C:
			if err := w.check(ctx); err != nil {
				return err
			}
			check.Reset(w.checkIn())
		case err := <-ended:
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return &CallError{Kind: KindWatch, Ending: ErrUnavailable, Cause: err}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// deliver reports the changes of one frame and returns whether any was new.
func (w *watch) deliver(f etcdjson.WatchResponse) bool {
	before := w.last
	for _, e := range f.Events {
		if string(e.Kv.Key) != w.key {
			continue
		}
		if e.Type == etcdjson.EventDelete {
			w.report(Entry{Key: w.key, Revision: int64(e.Kv.ModRevision)})
		} else {
			w.report(entryOf(w.key, e.Kv))
		}
	}
	return w.last > before
}

// checkIn returns the time until the next check.
func (w *watch) checkIn() time.Duration {
	if w.behind > w.last {
		return watchGrace
	}
	every := w.client.options.WatchCheck
	return every*3/4 + rand.N(every/2+1)
}

// check finds out whether the watch misses a change. A check that fails says
// nothing about the watch.
func (w *watch) check(ctx context.Context) error {
	if w.behind > w.last {
		w.client.counters.stalled.Inc()
		return &CallError{Kind: KindWatch, Ending: ErrUnavailable, Cause: errStalled}
	}
	revision, _, err := w.peek(ctx)
	if errors.Is(err, ErrRestored) {
		return err
	}
	if err == nil {
		w.behind = revision
	}
	return nil
}

// openWatch opens a stream of changes from the revision next on. The service
// has to accept it within the client's timeout; cancel ends the stream.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelCauseFunc, key string, next int64) (io.ReadCloser, error) {
	create := etcdjson.WatchCreate{Key: []byte(key), StartRevision: etcdjson.Int64(next)}
	r, err := post(KindWatch, etcdjson.PathWatch, etcdjson.WatchRequest{Create: create})
	if err != nil {
		return nil, err
	}
	limited, stop := context.WithTimeout(ctx, c.options.Timeout)
	defer stop()
	if err := c.admit(limited, KindWatch); err != nil {
		return nil, err
	}
	overdue := time.AfterFunc(c.options.Timeout, func() { cancel(errOverdue) })
	defer overdue.Stop()
	start := time.Now()
	base := c.bases[int(c.preferred.Load())]
	body, rep := c.startStream(ctx, r, base)
	if rep.err != nil && errors.Is(context.Cause(ctx), errOverdue) {
		rep.err = errOverdue
	}
	err = c.judge(KindWatch, base, rep)
	c.counters.attempt(KindWatch, err, start)
	return body, err
}

// startStream sends the request and returns the stream that answers it.
func (c *Client) startStream(ctx context.Context, r request, base string) (io.ReadCloser, reply) {
	res, sent, err := c.send(ctx, r, base)
	if err != nil {
		return nil, reply{sent: sent, err: err}
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, reply{sent: true, status: res.StatusCode}
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxFrame))
	return nil, reply{sent: true, status: res.StatusCode, message: errorMessage(data)}
}

// readFrames sends each frame of the stream to out until it ends.
func readFrames(ctx context.Context, body io.Reader, out chan<- etcdjson.WatchResponse) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxFrame)
	for lines.Scan() {
		f, err := decodeFrame(lines.Bytes())
		if err != nil {
			return err
		}
		select {
		case out <- f:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errEnded
}

// decodeFrame reads one line of a watch.
func decodeFrame(line []byte) (etcdjson.WatchResponse, error) {
	var f etcdjson.WatchFrame
	if err := json.Unmarshal(line, &f); err != nil {
		return etcdjson.WatchResponse{}, err
	}
	if f.Error != nil {
		return etcdjson.WatchResponse{}, errors.New(f.Error.Message)
	}
	if f.Result == nil || f.Result.Canceled {
		return etcdjson.WatchResponse{}, errCanceled
	}
	for _, e := range f.Result.Events {
		if e.Kv.ModRevision <= 0 {
			return etcdjson.WatchResponse{}, fmt.Errorf("event without a revision")
		}
	}
	return *f.Result, nil
}
