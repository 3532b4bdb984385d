package httpresponse

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const (
	answer = "answer"
	// upload is more than the kernel holds for a peer that does not read.
	upload      = 16 << 20
	userTimeout = 20 * time.Millisecond
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func setUserTimeout(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		err := unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		if err != nil {
			t.Error(err)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// finish ends the sending direction of c, and returns once near has received that.
func finish(c *net.TCPConn, near *Conn) {
	_ = c.CloseWrite()
	for finReceived := false; !finReceived; time.Sleep(time.Millisecond) {
		raw, err := near.SyscallConn()
		if err != nil {
			return
		}
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			finReceived = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
		})
	}
}

// TestEndOfConnection guards against a failure of a connection that a reader takes for a close by the peer, because a write
// has got the error, and against the opposite.
func TestEndOfConnection(t *testing.T) {
	cases := []struct {
		name     string
		end      func(far *net.TCPConn, near *Conn)
		timeout  bool // near gives up on a peer that does not read
		complete bool
	}{
		{"closed", func(far *net.TCPConn, near *Conn) { _, _ = io.CopyN(io.Discard, far, upload); _ = far.Close() }, false, true},
		{"half-closed", func(far *net.TCPConn, near *Conn) { finish(far, near); _, _ = io.Copy(io.Discard, far) }, false, true},
		{"half-closed, then reset", func(far *net.TCPConn, near *Conn) { finish(far, near); reset(far) }, false, true},
		{"half-closed, then not read", finish, true, true},
		{"reset", func(far *net.TCPConn, _ *Conn) { reset(far) }, false, false},
		{"closed with unread bytes", func(far *net.TCPConn, _ *Conn) { _, _ = io.CopyN(io.Discard, far, 1); _ = far.Close() }, false, false},
		{"not read", func(*net.TCPConn, *Conn) {}, true, false},
	}
	for _, tc := range cases {
		for _, late := range []bool{false, true} {
			name := tc.name + "/read at once"
			if late {
				name = tc.name + "/read after the write ended"
			}
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				local, far := connect(t)
				if tc.timeout {
					setUserTimeout(t, local)
				}
				near := NewConn(local)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = near.Write(make([]byte, upload))
				}()
				_, err := io.WriteString(far, answer)
				is.NoErr(err)
				go tc.end(far, near)
				if late {
					<-written
				}
				got, err := io.ReadAll(near)
				is.Equal(string(got), answer)
				is.Equal(err == nil, tc.complete)
				if late && !tc.complete {
					is.True(errors.Is(err, ErrBroken))
				}
				<-written
				_ = near.Close()
				is.Equal(near.broken(), !tc.complete) // also after a close in between
			})
		}
	}
}

// TestConnWithoutSocket guards against a connection that is not a socket and whose end passes for a failure.
func TestConnWithoutSocket(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() { _, _ = io.WriteString(far, answer); _ = far.Close() }()
	got, err := io.ReadAll(NewConn(near))
	is.NoErr(err)
	is.Equal(string(got), answer)
}
