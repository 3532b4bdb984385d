package catalog

import (
	"net"
	"strings"
	"time"
)

// Table is a Configuration with indexes for looking up requests. It is
// immutable.
type Table struct {
	*Configuration
	routesByHost    map[string]map[string]*Route // by host, then by path prefix
	services        map[string]*Service
	workspacesByKey map[string]*Workspace
	gapsByService   map[string]GapObjectives // by service name
}

// GapObjectives summarizes the gap objectives of the routes to a service; its fields are zero if
// no route has one.
type GapObjectives struct {
	Shortest time.Duration
	Next     time.Duration // the second shortest, or Shortest if all are equal
	Longest  time.Duration
}

// NewTable builds the indexes of a configuration, which must not be modified afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Configuration:   c,
		routesByHost:    make(map[string]map[string]*Route),
		services:        make(map[string]*Service, len(c.Services)),
		workspacesByKey: make(map[string]*Workspace),
		gapsByService:   make(map[string]GapObjectives),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = make(map[string]*Route)
		}
		t.routesByHost[host][r.PathPrefix] = r
		for _, target := range r.Targets {
			t.gapsByService[target.Service] = t.gapsByService[target.Service].including(r.GapObjective)
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.workspacesByKey[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Route returns the route of the host with the longest path prefix that matches
// path, or nil if there is none. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.routesByHost[strings.ToLower(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// including returns p with one more gap objective taken into account.
func (p GapObjectives) including(gap time.Duration) GapObjectives {
	if gap <= 0 {
		return p
	}
	p.Longest = max(p.Longest, gap)
	switch {
	case p.Shortest == 0:
		p.Shortest, p.Next = gap, gap
	case gap < p.Shortest:
		p.Shortest, p.Next = gap, p.Shortest
	case gap > p.Shortest && (p.Next == p.Shortest || gap < p.Next):
		p.Next = gap
	}
	return p
}

// GapObjectives returns the gap objectives of the routes to a service.
func (t *Table) GapObjectives(service string) GapObjectives { return t.gapsByService[service] }

// Service returns the service with that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that the key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[key] }

// LongestTimeout returns the longest timeout of a route.
func (t *Table) LongestTimeout() (longest time.Duration) {
	for i := range t.Configuration.Routes {
		longest = max(longest, t.Configuration.Routes[i].Timeout)
	}
	return longest
}
