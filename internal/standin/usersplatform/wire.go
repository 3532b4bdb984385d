package usersplatform

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// RequestHeader holds the header fields of a client's request.
type RequestHeader struct {
	ID       string
	Key      string
	Deadline time.Duration
	Tokens   int // of the prompt; 0: not stated
	// Parts are the ids of the parts that the prompt shares with others; nil: not stated.
	Parts []string
}

// Write sets the fields in h.
func (a RequestHeader) Write(h http.Header) {
	h.Set("Request-Id", a.ID)
	h.Set("Authorization", "Bearer "+a.Key)
	h.Set("Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	if a.Tokens > 0 {
		h.Set("Token-Usage", fmt.Sprintf("%d,%d", a.Tokens, StreamEvents))
	}
	if a.Parts != nil {
		h.Set(headerParts, strings.Join(append(slices.Clone(a.Parts), "own-"+a.ID), partTokens+",")+partTokens)
	}
}

const (
	headerParts = "Prompt-Prefix"
	partTokens  = ":100" // what follows the id of each part
)

// sharesPart reports whether the prompt of a request shares a part with others.
func sharesPart(r *http.Request, part string) bool {
	return part != "" && strings.Contains(","+r.Header.Get(headerParts), ","+part+partTokens+",")
}

// SealIn returns the seal of a response, empty for none.
func SealIn(h http.Header) string { return h.Get("Response-Seal") }

// Route is a route for one host in the operator's configuration.
type Route struct {
	Name      string // also the path, between slashes
	Kind      string // safe, unsafe or streaming
	Service   string
	Resumable bool
	Timeout   time.Duration
	Objective time.Duration
	Gap       time.Duration // longest gap between two events that is in time; 0: none is declared
	Attempts  int
}

// Configuration is the configuration that the operator declares.
type Configuration struct {
	Version       uint64
	Host          string
	Routes        []Route
	Services      []string
	EngineService string              // the service of workers of kind engine
	Workspaces    map[string][]string // keys by workspace
}

// Configure writes the configuration as the operator does.
func (s *Store) Configure(c Configuration) {
	routes := []any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": c.Host, "pathPrefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service, "resumeStreams": r.Resumable,
			"timeoutMs": r.Timeout.Milliseconds(), "targetLatencyMs": r.Objective.Milliseconds(), "maxAttempts": r.Attempts, "targetGapMs": r.Gap.Milliseconds(),
		})
	}
	services, tenants := []any{}, []any{}
	for _, name := range c.Services {
		services = append(services, map[string]any{"name": name})
	}
	if c.EngineService != "" {
		services = append(services, map[string]any{"name": c.EngineService, "engine": engineDeclaration()})
	}
	for name, keys := range c.Workspaces {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys})
	}
	s.Put("op/config", map[string]any{"version": c.Version, "routes": routes, "services": services, "tenants": tenants})
}

// States that a worker announces.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Announce writes the worker's entry as the worker does, with the address at which it is reached.
func (s *Store) Announce(w *Worker, address, state string) {
	s.Put("servers/"+w.ID, map[string]any{
		"service": w.Service, "address": address, "zone": w.DataCentre, "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": w.StartedMs,
	})
}

// Evacuate asks, as the operator does, that the workers of a data centre get no more requests.
func (s *Store) Evacuate(dataCentre string) { s.Put(evacuationPrefix+dataCentre, map[string]any{}) }

// EndEvacuation takes the request back.
func (s *Store) EndEvacuation(dataCentre string) { s.Delete(evacuationPrefix + dataCentre) }

const evacuationPrefix = "op/evacuate/"

// foreignValues are entries that no worker writes about itself.
var foreignValues = []any{
	"ready", nil, 7, []string{"ready"}, map[string]any{}, map[string]any{"state": "ready"},
	map[string]any{"state": "resting", "service": "safe", "address": "127.0.0.1:1", "slots": 8},
	map[string]any{"service": "safe", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": -1, "state": "ready", "coldRemainingMs": 0, "sequence": 1},
	map[string]any{"service": "safe", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": "now"},
}

// PutForeign writes entries of another writer beside those of the workers; remove deletes them.
func (s *Store) PutForeign() (remove func()) {
	writer := uuid.NewString()
	for n, value := range foreignValues {
		s.Put(fmt.Sprintf("servers/x-%d-%s", n, writer), value)
	}
	return func() {
		for n := range foreignValues {
			s.Delete(fmt.Sprintf("servers/x-%d-%s", n, writer))
		}
	}
}

// Withdraw deletes the worker's entry.
func (s *Store) Withdraw(w *Worker) { s.Delete("servers/" + w.ID) }
