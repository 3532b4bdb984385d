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

// maxFrame bounds the size, in bytes, of one line of a watch stream.
const maxFrame = 8 << 20

// deliveryGracePeriod is how long a watch may take to deliver a change that a
// check has found.
const deliveryGracePeriod = time.Second

var (
	errStalled     = errors.New("watch stalled: open, but a change was not delivered")
	errCanceled    = errors.New("watch canceled by the service")
	errStreamEnded = errors.New("watch stream ended")
	errNotAccepted = errors.New("watch not accepted within the timeout")
)

// Watch implements Store. While the watch is idle it checks every
// Options.WatchCheck, by reading the key's revision, that the watch is still
// being served, and ends with ErrUnavailable if it is not. after is the
// revision of an entry of this key that the caller already has, or 0; a store
// with an older state ends the watch with a RestoredError.
func (c *Client) Watch(ctx context.Context, key string, after int64, fn func(Entry)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &watch{client: c, key: key, lastRevision: after, fn: fn}
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
	client          *Client
	key             string
	lastRevision    int64 // revision of the last reported entry
	deleted         bool  // the last report was a deletion
	checkedRevision int64 // revision found by the last check; due by the next one
	fn              func(Entry)
}

// report passes a newer entry on and drops a stale one.
func (w *watch) report(e Entry) {
	if e.Revision <= w.lastRevision {
		w.client.counters.staleEvents.Inc()
		return
	}
	w.lastRevision = e.Revision
	w.deleted = e.Value == nil
	w.fn(e)
}

// catchUp reports the key's current value if it is newer and returns the
// revision at which the watch has to start. The value is read only if it is
// newer, since all watches reconnect at the same time after an outage.
func (w *watch) catchUp(ctx context.Context) (next int64, err error) {
	if w.lastRevision > 0 {
		revision, storeRevision, err := w.readRevision(ctx)
		if err != nil {
			return 0, err
		}
		if revision <= w.lastRevision {
			return storeRevision + 1, nil
		}
	}
	res, err := w.client.rangeCall(ctx, etcdjson.RangeRequest{Key: []byte(w.key)})
	if err != nil {
		return 0, err
	}
	storeRevision := int64(res.Header.Revision)
	if len(res.Kvs) > 0 {
		w.report(newEntry(w.key, res.Kvs[0]))
	} else if w.lastRevision > 0 {
		w.report(Entry{Key: w.key, Revision: storeRevision})
	}
	return storeRevision + 1, nil
}

// readRevision reads the key's revision without its value. A key found deleted
// counts as changed at the store's own revision, storeRevision.
func (w *watch) readRevision(ctx context.Context) (revision, storeRevision int64, err error) {
	res, err := w.client.rangeCall(ctx, etcdjson.RangeRequest{Key: []byte(w.key), KeysOnly: true})
	if err != nil {
		return 0, 0, err
	}
	storeRevision = int64(res.Header.Revision)
	revision = storeRevision
	if len(res.Kvs) > 0 {
		revision = int64(res.Kvs[0].ModRevision)
	} else if w.lastRevision == 0 || w.deleted {
		revision = w.lastRevision
	}
	if storeRevision < w.lastRevision || revision < w.lastRevision {
		return 0, 0, &RestoredError{Kind: KindRange, Seen: w.lastRevision, Now: revision}
	}
	return revision, storeRevision, nil
}

// run reports incoming changes until the watch breaks or stalls or ctx ends.
func (w *watch) run(ctx context.Context, body io.Reader) error {
	frames := make(chan etcdjson.WatchResponse)
	ended := make(chan error, 1)
	go func() { ended <- readFrames(ctx, body, frames) }()
	check := time.NewTimer(w.checkInterval())
	defer check.Stop()
	for {
		select {
		case f := <-frames:
			w.client.recordContact()
			if w.deliver(f) {
				check.Reset(w.checkInterval())
			}
		case <-check.C:
			if err := w.check(ctx); err != nil {
				return err
			}
			check.Reset(w.checkInterval())
		case err := <-ended:
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return &CallError{Kind: KindWatch, Outcome: ErrUnavailable, Cause: err}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// deliver reports the changes of one frame and returns whether any of them was
// new.
func (w *watch) deliver(f etcdjson.WatchResponse) bool {
	before := w.lastRevision
	for _, e := range f.Events {
		if string(e.Kv.Key) != w.key {
			continue
		}
		if e.Type == etcdjson.EventDelete {
			w.report(Entry{Key: w.key, Revision: int64(e.Kv.ModRevision)})
		} else {
			w.report(newEntry(w.key, e.Kv))
		}
	}
	return w.lastRevision > before
}

// checkInterval returns the time until the next check.
func (w *watch) checkInterval() time.Duration {
	if w.checkedRevision > w.lastRevision {
		return deliveryGracePeriod
	}
	every := w.client.options.WatchCheck
	return every*3/4 + rand.N(every/2+1)
}

// check determines whether the watch has missed a change. A failed check says
// nothing about the watch.
func (w *watch) check(ctx context.Context) error {
	if w.checkedRevision > w.lastRevision {
		w.client.counters.stalledWatches.Inc()
		return &CallError{Kind: KindWatch, Outcome: ErrUnavailable, Cause: errStalled}
	}
	revision, _, err := w.readRevision(ctx)
	if errors.Is(err, ErrRestored) {
		return err
	}
	if err == nil {
		w.checkedRevision = revision
	}
	return nil
}

// openWatch opens a stream of changes that starts at revision next. The service
// has to accept it within the client's timeout; cancel ends the stream.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelCauseFunc, key string, next int64) (io.ReadCloser, error) {
	create := etcdjson.WatchCreate{Key: []byte(key), StartRevision: etcdjson.Int64(next)}
	r, err := postRequest(KindWatch, etcdjson.PathWatch, etcdjson.WatchRequest{Create: create})
	if err != nil {
		return nil, err
	}
	limiterCtx, stop := context.WithTimeout(ctx, c.options.Timeout)
	defer stop()
	if err := c.awaitLimiter(limiterCtx, KindWatch); err != nil {
		return nil, err
	}
	acceptTimer := time.AfterFunc(c.options.Timeout, func() { cancel(errNotAccepted) })
	defer acceptTimer.Stop()
	start := time.Now()
	base := c.baseURLs[int(c.preferred.Load())]
	body, result := c.startStream(ctx, r, base)
	if result.err != nil && errors.Is(context.Cause(ctx), errNotAccepted) {
		result.err = errNotAccepted
	}
	err = c.callError(KindWatch, base, result)
	c.counters.recordAttempt(KindWatch, err, start)
	return body, err
}

// startStream sends the request and returns the response body as a stream.
func (c *Client) startStream(ctx context.Context, r request, base string) (io.ReadCloser, attemptResult) {
	res, sent, err := c.send(ctx, r, base)
	if err != nil {
		return nil, attemptResult{sent: sent, err: err}
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, attemptResult{sent: true, status: res.StatusCode}
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxFrame))
	return nil, attemptResult{sent: true, status: res.StatusCode, message: errorMessage(data)}
}

// readFrames sends each frame of the stream to out until the stream ends.
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
	return errStreamEnded
}

// decodeFrame decodes one line of a watch stream.
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
			return etcdjson.WatchResponse{}, fmt.Errorf("watch event has no revision")
		}
	}
	return *f.Result, nil
}
