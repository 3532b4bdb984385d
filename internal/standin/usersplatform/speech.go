package usersplatform

import (
	"net/http"
	"strconv"
	"time"
)

// Ask is the head of a client's request, beside method and path.
type Ask struct {
	ID       string
	Key      string
	Deadline time.Duration
}

// Write puts the head into h.
func (a Ask) Write(h http.Header) {
	h.Set("Request-Id", a.ID)
	h.Set("Authorization", "Bearer "+a.Key)
	h.Set("Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
}

// SealIn returns the signature that an answer carries, empty for none.
func SealIn(h http.Header) string { return h.Get("Response-Seal") }

// Route is a route of the operator's configuration on one host.
type Route struct {
	Name      string // also the path, between slashes
	Kind      string // safe, unsafe or streaming
	Service   string
	Resumable bool
	Timeout   time.Duration
	Objective time.Duration
	Attempts  int
}

// Configuration is what the operator declares.
type Configuration struct {
	Version    uint64
	Host       string
	Routes     []Route
	Services   []string
	Workspaces map[string][]string // keys by workspace
}

// Configure writes the configuration as the operator does.
func (s *Store) Configure(c Configuration) {
	routes := []any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": c.Host, "pathPrefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service, "resumeStreams": r.Resumable,
			"timeoutMs": r.Timeout.Milliseconds(), "targetLatencyMs": r.Objective.Milliseconds(), "maxAttempts": r.Attempts,
		})
	}
	services, tenants := []any{}, []any{}
	for _, name := range c.Services {
		services = append(services, map[string]any{"name": name})
	}
	for name, keys := range c.Workspaces {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys})
	}
	s.Put("op/config", map[string]any{"version": c.Version, "routes": routes, "services": services, "tenants": tenants})
}

// The states that a worker announces.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Announce writes the worker's entry as the worker does, with the address at
// which it is reached.
func (s *Store) Announce(w *Worker, address, state string) {
	s.Put("servers/"+w.ID, map[string]any{"service": w.Service, "address": address, "zone": "a", "slots": 8, "state": state})
}

// Withdraw removes the worker's entry.
func (s *Store) Withdraw(w *Worker) { s.Delete("servers/" + w.ID) }
