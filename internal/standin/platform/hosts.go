package platform

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/micarudder/micarudder/metastore"
)

// HostGone removes a host from the list.
const HostGone metastore.HostState = "gone"

// hostList holds the actual hosts and the hosts as listed, which lag behind.
type hostList struct {
	mu     sync.Mutex
	lag    time.Duration
	actual map[string]metastore.Host
	listed map[string]metastore.Host
}

func newHostList(lag time.Duration, hosts []metastore.Host) *hostList {
	l := &hostList{lag: lag, actual: map[string]metastore.Host{}, listed: map[string]metastore.Host{}}
	for _, h := range hosts {
		l.actual[h.Name] = h
		l.listed[h.Name] = h
	}
	return l
}

// set changes one host; the list shows the change after the lag.
func (l *hostList) set(h metastore.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.actual[h.Name]; ok {
		h = merge(old, h)
	}
	l.actual[h.Name] = h
	if l.lag == 0 {
		l.publish(h)
		return
	}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.publish(h)
	})
}

// merge returns h with its empty fields taken from old.
func merge(old, h metastore.Host) metastore.Host {
	if h.DataCentre == "" {
		h.DataCentre = old.DataCentre
	}
	if h.State == "" {
		h.State = old.State
	}
	if h.Address == "" {
		h.Address = old.Address
	}
	return h
}

func (l *hostList) publish(h metastore.Host) {
	if h.State == HostGone {
		delete(l.listed, h.Name)
		return
	}
	l.listed[h.Name] = h
}

// setLag sets the lag of later changes.
func (l *hostList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// list returns the listed hosts, ordered by name.
func (l *hostList) list() []metastore.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := make([]metastore.Host, 0, len(l.listed))
	for _, name := range slices.Sorted(maps.Keys(l.listed)) {
		hosts = append(hosts, l.listed[name])
	}
	return hosts
}

// targetGroup is one element of Prometheus' HTTP service discovery format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// serveHosts sends the listed hosts.
func (s *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	groups := []targetGroup{}
	for _, h := range s.hosts.list() {
		groups = append(groups, targetGroup{
			Targets: []string{h.Address},
			Labels: map[string]string{
				"host":        h.Name,
				"data_centre": h.DataCentre,
				"state":       string(h.State),
			},
		})
	}
	writeJSON(w, http.StatusOK, groups)
}
