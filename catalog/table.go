package catalog

import (
	"net"
	"strings"
	"time"
)

// Table is a Configuration with the indexes that requests are looked up in. It
// is immutable.
type Table struct {
	*Configuration
	hosts    map[string]map[string]*Route // host, then prefix
	services map[string]*Service
	keys     map[string]*Workspace
	gaps     map[string]Gaps // by service
}

// Gaps are the objectives of the routes of a service for the pause between two
// events; zero: no route has one.
type Gaps struct {
	Shortest time.Duration
	Next     time.Duration // the shortest above Shortest, or Shortest where it is the only one
	Longest  time.Duration
}

// NewTable indexes a configuration, which must not change afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Configuration: c,
		hosts:         make(map[string]map[string]*Route),
		services:      make(map[string]*Service, len(c.Services)),
		keys:          make(map[string]*Workspace),
		gaps:          make(map[string]Gaps),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.PathPrefix] = r
		for _, target := range r.Targets {
			t.gaps[target.Service] = t.gaps[target.Service].with(r.GapObjective)
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.keys[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Route returns the route of the host whose prefix is the longest that begins
// the path, or nil. A port in host does not count.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.hosts[strings.ToLower(host)]
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

// with returns the pauses with one more objective.
func (p Gaps) with(gap time.Duration) Gaps {
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

// Gaps returns the pauses that the routes to a service allow.
func (t *Table) Gaps(service string) Gaps { return t.gaps[service] }

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that the key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }
