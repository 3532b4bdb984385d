package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

func testRun(t *testing.T, id string, body, tokens int) *run {
	t.Helper()
	return newRun(t.Context(), &rudderv1.RunRequest{
		RequestId: id, Body: make([]byte, body), RemainingMs: 1000, Completion: &rudderv1.Completion{MaxTokens: uint64(tokens)},
	}, time.Now())
}

// TestRecordsBound checks that new IDs are refused when the table is full, and that existing
// records are kept.
func TestRecordsBound(t *testing.T) {
	is := is.New(t)
	table := newRecords(2, 1000)
	a, b := testRun(t, "a", 100, 50), testRun(t, "b", 100, 50)
	is.True(table.fits(a.req))
	table.add(a)
	is.Equal(table.bytes, int64(500)) // the body and 8 bytes for each token
	is.True(table.fits(b.req))
	table.add(b)
	is.True(!table.fits(testRun(t, "c", 0, 0).req)) // two records at most
	is.True(!table.grow(a, 1))                      // 1000 bytes at most
	is.True(table.seal("x", time.Now()))
	is.True(table.seal("y", time.Now()))
	is.True(!table.seal("z", time.Now())) // two tombstones at most
	is.True(table.sealed("x"))
	is.True(!table.sealed("z"))
}

// TestRecordsReleaseSpace checks that an ended run uses space for its response only, and a run
// whose response was dropped uses none.
func TestRecordsReleaseSpace(t *testing.T) {
	is := is.New(t)
	table := newRecords(2, 1000)
	r := testRun(t, "a", 100, 50)
	table.add(r)
	r.append([]byte("hour 12"))
	is.Equal(r.apply(lifecycle.Event{Kind: lifecycle.EvDispatch}, ""), lifecycle.ActOrder)
	r.apply(lifecycle.Event{Kind: lifecycle.EvEnd, Code: result.OK}, "")
	table.ended(r)
	is.Equal(table.bytes, int64(len("hour 12")))
	is.Equal(table.unfinishedRuns(), 0)
	table.drop(r)
	is.Equal(table.bytes, int64(0))
	is.Equal(len(table.runs), 1)
	is.True(r.read(0).dropped)
	table.forget(r)
	is.Equal(len(table.runs), 0)
	is.Equal(table.bytes, int64(0))
}
