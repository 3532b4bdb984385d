package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// send makes one call to the handler and returns its status and body.
func send(s *standin.Server, method, target, body string) (int, string) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func TestFaultParameters(t *testing.T) {
	cases := []struct {
		query  string
		status int
		want   standin.Faults
	}{
		{"outage=hang&delay=20ms", 200, standin.Faults{Outage: standin.OutageHang, Delay: 20 * time.Millisecond}},
		{"answer_delay=1s&outage=", 200, standin.Faults{Delay: 20 * time.Millisecond, AnswerDelay: time.Second}},
		{"clear=true&lose_applied=2&lose_unapplied=3", 200, standin.Faults{LoseApplied: 2, LoseUnapplied: 3}},
		{"watch=paused&old_reads=true&lose_applied=0&lose_unapplied=0", 200, standin.Faults{Watch: standin.WatchPaused, OldReads: true}},
		{"outage=sometimes", 400, standin.Faults{Watch: standin.WatchPaused, OldReads: true}},
		{"delay=20", 400, standin.Faults{Watch: standin.WatchPaused, OldReads: true}},
		{"speed=9", 400, standin.Faults{Watch: standin.WatchPaused, OldReads: true}},
		{"clear=true", 200, standin.Faults{}},
	}
	is := is.New(t)
	s := standin.NewServer(standin.Config{})
	for _, c := range cases {
		status, _ := send(s, http.MethodPost, "/fault?"+c.query, "")
		is.Equal(status, c.status)
		is.Equal(s.Faults(), c.want)
	}
}

// TestControlInOutage: faults do not affect the control calls, and these are not counted.
func TestControlInOutage(t *testing.T) {
	is := is.New(t)
	s := standin.NewServer(standin.Config{})
	s.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	status, _ := send(s, http.MethodGet, "/hosts", "")
	is.Equal(status, http.StatusServiceUnavailable)
	for _, call := range []string{"POST /snapshot", "POST /restore", "POST /host?host=h1&state=live&address=a:1&lag=0s", "POST /rates?reads=1&writes=1", "GET /fault", "GET /counts", "POST /fault?clear=true"} {
		method, target, _ := strings.Cut(call, " ")
		status, _ := send(s, method, target, "")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(s.Counts(), standin.Counts{Hosts: 1})
	_, body := send(s, http.MethodGet, "/hosts", "")
	is.Equal(body, `[{"targets":["a:1"],"labels":{"data_centre":"","host":"h1","state":"live"}}]`+"\n")
	status, _ = send(s, http.MethodGet, "/hosts", "")
	is.Equal(status, http.StatusTooManyRequests) // over the rate limit set above
	is.Equal(s.Counts(), standin.Counts{Hosts: 3, Limited: 1})
}

func TestRefusedControl(t *testing.T) {
	is := is.New(t)
	s := standin.NewServer(standin.Config{Hosts: []metastore.Host{{Name: "h1", State: metastore.HostLive}}})
	for target, want := range map[string]int{
		"/restore":               http.StatusConflict, // there is no snapshot
		"/host?host=h1&state=up": http.StatusBadRequest,
		"/host?host=h1&lag=5":    http.StatusBadRequest,
		"/rates?reads=1":         http.StatusBadRequest,
		"/rates?writes=1":        http.StatusBadRequest,
		"/v3/kv/txn":             http.StatusBadRequest, // no body
	} {
		status, _ := send(s, http.MethodPost, target, "")
		is.Equal(status, want)
	}
}

// TestCompactedWatch: a watch from a compacted revision is canceled with the compact revision.
func TestCompactedWatch(t *testing.T) {
	is := is.New(t)
	s := standin.NewServer(standin.Config{})
	for range 10_010 {
		status, _ := send(s, http.MethodPost, "/v3/kv/txn", `{"success":[{"request_put":{"key":"aw==","value":"MQ=="}}]}`)
		is.Equal(status, http.StatusOK)
	}
	status, body := send(s, http.MethodPost, "/v3/watch", `{"create_request":{"key":"aw==","start_revision":"5"}}`)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"canceled":true,"compact_revision":"11"`))
	is.Equal(strings.Count(body, "\n"), 2)
}
