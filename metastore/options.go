package metastore

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/micarudder/micarudder/internal/httpresponse"
)

// MaxValue is the largest value, in bytes, that the service accepts.
const MaxValue = 1_000_000

// Defaults of Options.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultReadRate   = 20.0
	DefaultWriteRate  = 10.0
	DefaultLeaseRate  = 5.0
	DefaultWatchCheck = 5 * time.Second
	DefaultHostsPath  = "/hosts"
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// Addresses of the service, as host:port or as URLs. Required.
	Addresses []string
	// HTTPClient makes the calls; redirects are never followed.
	HTTPClient *http.Client
	// Timeout bounds one attempt, including the wait for the rate limiter. A
	// call may make one attempt per address.
	Timeout time.Duration
	// ReadRate and WriteRate are this client's share of the service's rate
	// limits, in calls per second. A burst of one second's worth of calls is
	// allowed.
	ReadRate  float64
	WriteRate float64
	// LeaseRate is a separate share for keep-alives, so that a flood of writes
	// cannot delay the renewal of a lease.
	LeaseRate float64
	// WatchCheck is the interval between two checks that an idle watch is still
	// being served. Each check is one read without the value.
	WatchCheck time.Duration
	// HostsPath is the path of the host list.
	HostsPath string
	// Metrics receives the client's metrics; if it is nil, they are not
	// exported.
	Metrics *metrics.Set
	// OnRestore is called once for each detected restore of the store: seen is
	// the highest revision known before it, now the revision after it.
	OnRestore func(seen, now int64)
}

// withDefaults replaces zero fields by their defaults.
func (o Options) withDefaults() Options {
	o.Timeout = orDefault(o.Timeout, DefaultTimeout)
	o.ReadRate = orDefault(o.ReadRate, DefaultReadRate)
	o.WriteRate = orDefault(o.WriteRate, DefaultWriteRate)
	o.LeaseRate = orDefault(o.LeaseRate, DefaultLeaseRate)
	o.WatchCheck = orDefault(o.WatchCheck, DefaultWatchCheck)
	o.HostsPath = orDefault(o.HostsPath, DefaultHostsPath)
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{Transport: newTransport(o.Timeout)}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.OnRestore == nil {
		o.OnRestore = func(int64, int64) {}
	}
	return o
}

// orDefault returns v, or def if v is zero.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// check returns an error if the options are invalid.
func (o Options) check() error {
	if len(o.Addresses) == 0 {
		return trace.BadParameter("platform: no address configured")
	}
	for _, a := range o.Addresses {
		if strings.TrimSpace(a) == "" {
			return trace.BadParameter("platform: an address is empty")
		}
	}
	if o.Timeout < 0 || o.WatchCheck < 0 {
		return trace.BadParameter("platform: a duration is negative")
	}
	if o.ReadRate < 0 || o.WriteRate < 0 || o.LeaseRate < 0 {
		return trace.BadParameter("platform: a rate is negative")
	}
	return nil
}

// newTransport returns a transport whose dial timeout is timeout.
func newTransport(timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{
		DialContext:         httpresponse.Dialer(dialer.DialContext),
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
}

// newLimiter allows perSecond calls per second with a burst of one second's
// worth of calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// baseURL converts an address to a URL without a trailing slash.
func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}
