package monitor

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// response is a response whose reads return after a delay.
type response struct {
	delay time.Duration
	text  string
	err   error
	cut   chan struct{} // closed when the attempt is ended
}

func (r *response) Read(p []byte) (int, error) {
	select {
	case <-time.After(r.delay):
		return copy(p, r.text), r.err
	case <-r.cut:
		return 0, errors.New("cut")
	}
}

// TestMonitor guards against a stream that is lost because its resumption fails or is denied, that both
// endpoints deliver, or that neither does. The limit is one second; the read begins at 0.
func TestMonitor(t *testing.T) {
	const limit = time.Second
	errBroken := errors.New("broken")
	cases := []struct {
		name string
		// delay and err are when and how the read of the first response ends; with err it has no bytes.
		delay time.Duration
		err   error
		// resumeFor is how long an attempt to resume takes, and begins whether it succeeds.
		resumeFor time.Duration
		begins    bool

		want            error // of Read
		attempts        int
		moved, cut      bool
		discarded       int
		atLeast, atMost time.Duration
	}{
		{name: "next endpoint delivers first", delay: time.Minute, resumeFor: 100 * time.Millisecond, begins: true,
			want: ErrMoved, attempts: 1, moved: true, cut: true, atLeast: limit, atMost: limit + 200*time.Millisecond},
		{name: "resumption is denied", delay: 2500 * time.Millisecond, attempts: 2, atLeast: 2500 * time.Millisecond, atMost: 2500 * time.Millisecond},
		{name: "resumption fails late", delay: 2500 * time.Millisecond, resumeFor: 700 * time.Millisecond, attempts: 1, atLeast: 2500 * time.Millisecond, atMost: 2500 * time.Millisecond},
		{name: "first endpoint delivers again", delay: 1500 * time.Millisecond, resumeFor: time.Minute, begins: true,
			attempts: 1, discarded: 1, atLeast: 1500 * time.Millisecond, atMost: 1500 * time.Millisecond},
		{name: "first endpoint completes the stream", delay: 1500 * time.Millisecond, err: io.EOF, resumeFor: time.Minute, begins: true,
			want: io.EOF, attempts: 1, discarded: 1, atLeast: 1500 * time.Millisecond, atMost: 1500 * time.Millisecond},
		{name: "first endpoint breaks off", delay: 1500 * time.Millisecond, err: errBroken, resumeFor: time.Second, begins: true,
			want: errBroken, attempts: 1, moved: true, atLeast: 2 * time.Second, atMost: 2100 * time.Millisecond},
		{name: "first endpoint breaks off, resumption fails", delay: 1500 * time.Millisecond, err: errBroken, resumeFor: time.Second,
			want: errBroken, attempts: 1, atLeast: 2 * time.Second, atMost: 2100 * time.Millisecond},
		{name: "event in time", delay: 900 * time.Millisecond, atLeast: 900 * time.Millisecond, atMost: 900 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				attempts, discarded, wasCut := 0, 0, false
				r := &response{delay: tc.delay, err: tc.err, cut: make(chan struct{})}
				if tc.err == nil {
					r.text = "id: 2\n\n"
				}
				m := New(t.Context(), Options[string]{
					Limit: limit, Suspended: func() time.Duration { return 0 }, Deliveries: NewDeliveries(), Endpoint: "a",
					Resume: func(ctx context.Context, _ Stall) (string, bool) {
						attempts++
						select {
						case <-time.After(tc.resumeFor):
						case <-ctx.Done():
						}
						return "b", tc.begins
					},
					Discard: func(string) { discarded++ },
					Move: func(cut bool) {
						if wasCut = cut; cut {
							close(r.cut)
						}
					},
				})
				m.EventArrived("1")
				m.EventPassedOn()
				began := time.Now()
				_, err := m.Read(r, make([]byte, 100))
				took := time.Since(began)
				next, moved := m.Next()
				m.End()
				m.End() // the second call has no effect
				is.Equal(err, tc.want)
				is.Equal(attempts, tc.attempts)
				is.Equal(moved, tc.moved)
				is.Equal(moved, next == "b")
				is.Equal(wasCut, tc.cut)
				is.Equal(discarded, tc.discarded)
				is.True(took >= tc.atLeast && took <= tc.atMost)
				is.Equal(len(m.options.Deliveries.Endpoints()), 0)
			})
		})
	}
}
