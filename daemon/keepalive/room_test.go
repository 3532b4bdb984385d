package keepalive

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRoomForNewConnections guards against callers that open connections up to the limit of open files and send nothing,
// so that no other caller is served: a new connection takes the place of one that waits, never of one that carries a complete
// request.
func TestRoomForNewConnections(t *testing.T) {
	const (
		unused = "unused" // nothing was sent
		kept   = "kept"   // one request was answered
		begun  = "begun"  // a part of a head was sent
		busy   = "busy"   // the response is awaited
	)
	for name, tc := range map[string]struct {
		open   []string
		wait   time.Duration // before the next connection
		ends   int           // the connection that ends; -1: none
		served bool          // whether the next connection is
	}{
		"room":                       {[]string{unused, kept, busy}, time.Second, -1, true},
		"unused before kept ones":    {[]string{kept, unused, begun, busy}, time.Second, 1, true},
		"the one that waits longest": {[]string{kept, kept, busy, busy}, time.Second, 0, true},
		"a head that does not come":  {[]string{kept, busy, begun, busy}, time.Second, 2, true},
		"all carry requests":         {[]string{busy, busy, busy, busy}, time.Second, -1, false},
		"new ones are left alone":    {[]string{busy, begun, busy, unused}, minOpenTime / 2, -1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newServer()
				defer s.close()
				s.conns.maxConns = 4
				const request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
				var all []*caller
				busyCount := 0
				for _, state := range tc.open {
					c := s.dial(t)
					all = append(all, c)
					switch state {
					case kept:
						s.release <- struct{}{}
						is.True(c.send(request))
						<-c.responses
					case begun:
						is.True(c.send("G"))
					case busy:
						busyCount++
						is.True(c.send(request))
					}
					synctest.Wait()
					if state == kept {
						time.Sleep(time.Millisecond)
					}
				}
				time.Sleep(tc.wait)
				next := s.dial(t)
				served := next.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
				is.Equal(served, tc.served)
				for range busyCount + 1 {
					s.release <- struct{}{}
				}
				synctest.Wait()
				if served {
					is.Equal((<-next.responses).status, http.StatusOK)
				}
				for i, c := range all {
					select {
					case res, ok := <-c.responses:
						is.Equal(!ok || res.status == http.StatusServiceUnavailable, i == tc.ends) // a busy one has its response
					default:
						is.True(i != tc.ends)
					}
				}
				for _, c := range append(all, next) {
					_ = c.Close()
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSlowBodiesMakeRoom guards against a port for other processes of the product that callers fill with requests whose
// bodies do not arrive. At a port for callers such requests stay.
func TestSlowBodiesMakeRoom(t *testing.T) {
	for _, evicts := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newServer()
			defer s.close()
			s.conns.maxConns, s.conns.bodiesEnd = 1, evicts
			slow := s.dial(t)
			is.True(slow.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"))
			time.Sleep(time.Second)
			next := s.dial(t)
			s.release <- struct{}{}
			is.Equal(next.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"), evicts)
			is.Equal(slow.send("dy"), !evicts)
			_, _ = slow.Close(), next.Close()
			time.Sleep(time.Second)
		})
	}
}
