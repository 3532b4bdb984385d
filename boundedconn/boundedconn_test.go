package boundedconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const timeout = 2 * time.Second

// TestWriteToPeer guards against waiting for a peer that does not read for longer than the timeout and
// one check, and against disconnecting one that reads slowly.
func TestWriteToPeer(t *testing.T) {
	cases := []struct {
		name string
		// readEvery is how often the peer reads a byte; 0: never.
		readEvery time.Duration
		// shrinkEvery is how often the kernel's queue shrinks by a byte; 0: never.
		shrinkEvery   time.Duration
		deadline      time.Duration // set by the user; 0: none
		cut, exceeded bool
		after         time.Duration // when the write ends
	}{
		{name: "never reads", cut: true, after: timeout * 5 / 4},
		{name: "reads slowly", readEvery: 1900 * time.Millisecond, after: 4 * 1900 * time.Millisecond},
		{name: "kernel's queue shrinks slowly", shrinkEvery: 1900 * time.Millisecond, deadline: time.Minute, exceeded: true, after: time.Minute},
		{name: "deadline before the timeout", deadline: time.Second, exceeded: true, after: time.Second},
		{name: "reads until the deadline", readEvery: 1900 * time.Millisecond, deadline: 5 * time.Second, exceeded: true, after: 5 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				local, remote := net.Pipe()
				var reader sync.WaitGroup
				defer func() {
					_, _ = local.Close(), remote.Close()
					reader.Wait()
				}()
				disconnects := 0
				c := New(local, timeout, func() { disconnects++ })
				began := time.Now()
				if tc.shrinkEvery > 0 {
					c.queued = func() int { return 1000 - int(time.Since(began)/tc.shrinkEvery) }
				}
				if tc.deadline > 0 {
					is.NoErr(c.SetWriteDeadline(began.Add(tc.deadline)))
				}
				if tc.readEvery > 0 {
					reader.Go(func() {
						for {
							time.Sleep(tc.readEvery)
							if _, err := remote.Read(make([]byte, 1)); err != nil {
								return
							}
						}
					})
				}
				is.True(c.WaitingSince().IsZero())
				_, err := c.Write(make([]byte, 4))
				is.Equal(time.Since(began), tc.after)
				var failure *NotReadingError
				is.Equal(errors.As(err, &failure), tc.cut)
				is.Equal(errors.Is(err, os.ErrDeadlineExceeded), tc.exceeded)
				is.Equal(disconnects == 1, tc.cut)
				is.True(c.WaitingSince().IsZero())
				if tc.cut {
					is.Equal(failure.For, timeout)
					_, err := c.Read(make([]byte, 1))
					is.True(errors.As(err, &failure)) // the reader learns why, too
				}
			})
		})
	}
}

// TestDisconnectDuringWrite guards against a write that goes on waiting after its peer was disconnected
// to make room for others.
func TestDisconnectDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := net.Pipe()
		defer func() { is.NoErr(remote.Close()) }()
		c := New(local, timeout, nil)
		began := time.Now()
		time.AfterFunc(time.Second, c.Disconnect)
		_, err := c.Write(make([]byte, 4))
		var failure *NotReadingError
		is.True(errors.As(err, &failure))
		is.Equal(time.Since(began), time.Second)
	})
}

// TestKernelBuffers guards against kernel buffers that grow to several MB for each peer that does not
// read, or that sends what is not read.
func TestKernelBuffers(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(l.Close()) }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	is.NoErr(err)
	c := New(server, 200*time.Millisecond, nil)
	var sender sync.WaitGroup
	sender.Go(func() { // the client writes and never reads, and nor does the server
		_, _ = io.CopyN(client, zeros{}, 8<<20)
	})
	held, unread := 0, 0
	c.queued = func() int {
		_ = control(server, func(fd int) error {
			n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
			unread = max(unread, n)
			return err
		})
		held = max(held, queuedBytes(server))
		return held
	}
	_, err = c.Write(make([]byte, 64<<20))
	var failure *NotReadingError
	is.True(errors.As(err, &failure))
	t.Logf("held for the peer: %d bytes, from it: %d", held, unread)
	is.True(held > 0)
	is.True(unread > 0)
	is.True(unread <= BufferBytes)
	is.True(held <= BufferBytes)
	sender.Wait()
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestDeadlineDuringWrite guards against a write that is no longer checked, and so waits for a peer that does
// not read, after its deadline was changed meanwhile.
func TestDeadlineDuringWrite(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"none": 0, "later than the timeout": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				local, remote := net.Pipe()
				defer func() { _, _ = local.Close(), remote.Close() }()
				c := New(local, timeout, nil)
				began := time.Now()
				time.AfterFunc(timeout/8, func() {
					var at time.Time
					if deadline > 0 {
						at = began.Add(deadline)
					}
					_ = c.SetWriteDeadline(at)
				})
				time.AfterFunc(2*time.Minute, func() { _ = remote.Close() })
				_, err := c.Write(make([]byte, 4))
				var failure *NotReadingError
				is.True(errors.As(err, &failure))
				is.True(time.Since(began) <= timeout*3/2)
			})
		})
	}
}

// TestWaitingSince guards against disconnecting peers that read, to make room for others, after the process was
// frozen: their writes began long ago, and no check has found that the peer reads nothing.
func TestWaitingSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := net.Pipe()
		c := New(local, timeout, nil)
		began := time.Now()
		go func() { _, _ = c.Write(make([]byte, 4)) }()
		const check = timeout / checksPerTimeout
		time.Sleep(check * 3 / 2) // after the first check, which has nothing to compare with
		is.True(c.WaitingSince().IsZero())
		time.Sleep(check)
		is.Equal(c.WaitingSince(), began.Add(check))
		_, err := io.CopyN(io.Discard, remote, 2)
		is.NoErr(err)
		time.Sleep(check)
		is.True(c.WaitingSince().IsZero()) // the peer reads again
		_, _ = local.Close(), remote.Close()
	})
}
