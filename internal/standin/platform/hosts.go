package platform

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/micarudder/micarudder/metastore"
)

// HostGone takes a host off the list.
const HostGone metastore.HostState = "gone"

// hostList is the truth about the hosts, and what the list shows of it.
type hostList struct {
	mu    sync.Mutex
	lag   time.Duration
	truth map[string]metastore.Host
	shown map[string]metastore.Host
}

func newHostList(lag time.Duration, hosts []metastore.Host) *hostList {
	l := &hostList{lag: lag, truth: map[string]metastore.Host{}, shown: map[string]metastore.Host{}}
	for _, h := range hosts {
		l.truth[h.Name] = h
		l.shown[h.Name] = h
	}
	return l
}

// set changes one host; the list shows it after the lag.
func (l *hostList) set(h metastore.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.truth[h.Name]; ok {
		h = merge(old, h)
	}
	l.truth[h.Name] = h
	if l.lag == 0 {
		l.show(h)
		return
	}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.show(h)
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

func (l *hostList) show(h metastore.Host) {
	if h.State == HostGone {
		delete(l.shown, h.Name)
		return
	}
	l.shown[h.Name] = h
}

// setLag changes the lag of later changes.
func (l *hostList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// list returns the hosts shown, ordered by name.
func (l *hostList) list() []metastore.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := make([]metastore.Host, 0, len(l.shown))
	for _, name := range slices.Sorted(maps.Keys(l.shown)) {
		hosts = append(hosts, l.shown[name])
	}
	return hosts
}

// targetGroup is one element of Prometheus' HTTP service discovery format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// serveHosts answers with the lagging list.
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
