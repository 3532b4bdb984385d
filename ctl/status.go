package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

type statusCommand struct {
	app *app
}

// fleetStatus is the JSON output of the command.
type fleetStatus struct {
	Generation uint64           `json:"generation"` // highest generation that any process reports
	Gateways   []gatewayStatus  `json:"gateways"`
	Endpoints  []endpointStatus `json:"endpoints"`
}

type gatewayStatus struct {
	Address    string `json:"address"`
	Name       string `json:"name,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	Generation uint64 `json:"generation"`
	Behind     uint64 `json:"behind"` // number of generations behind the highest
	Platform   string `json:"platform,omitempty"`
	Draining   bool   `json:"draining"`
	Placing    bool   `json:"placing"` // whether it issues the permits for orders in its data centre
	Error      string `json:"error,omitempty"`
}

type endpointStatus struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"data_centre"`
	Generation uint64       `json:"generation"`
	Behind     uint64       `json:"behind"`
	State      string       `json:"state"`
	Role       string       `json:"role,omitempty"`
	Service    string       `json:"service,omitempty"`
	Models     []string     `json:"models,omitempty"`
	Loading    []string     `json:"loading,omitempty"`
	Queued     uint32       `json:"queued"`
	Running    uint32       `json:"running"`
	Breaker    string       `json:"breaker,omitempty"`
	SilentMS   int64        `json:"silent_ms"`
	Unloading  []string     `json:"unloading,omitempty"` // models that receive no new runs
	Order      *orderStatus `json:"order,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	if len(c.app.Gateways) == 0 {
		return usageError("--gateway or RUDDER_GATEWAYS is needed")
	}
	views, err := c.app.fetchStatuses()
	if err != nil {
		return err
	}
	f, unanswered := summarize(views)
	if unanswered == len(views) {
		return result.New(result.PlatformAway, "no gateway answers: "+views[0].Err.Error())
	}
	if unanswered > 0 {
		c.app.exit = ExitPartial
	}
	if c.app.JSON {
		return c.app.writeJSON(f)
	}
	c.writeText(f)
	return nil
}

// summarize returns the status of the fleet and the number of gateways that did not answer.
func summarize(views []gatewayView) (fleetStatus, int) {
	var f fleetStatus
	unanswered := 0
	reports := latestReports(views)
	for _, v := range views {
		f.Generation = max(f.Generation, v.Status.GetGeneration())
	}
	for _, e := range reports {
		f.Generation = max(f.Generation, e.GetReport().GetGeneration())
	}
	for _, v := range views {
		if v.Status == nil {
			unanswered++
			f.Gateways = append(f.Gateways, gatewayStatus{Address: v.Address, Error: v.Err.Error()})
			continue
		}
		f.Gateways = append(f.Gateways, f.newGatewayStatus(v))
	}
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		f.Endpoints = append(f.Endpoints, f.newEndpointStatus(reports[name]))
	}
	return f, unanswered
}

func (f *fleetStatus) newGatewayStatus(v gatewayView) gatewayStatus {
	s := v.Status
	g := gatewayStatus{
		Address: v.Address, Name: s.Gateway, DataCentre: s.DataCentre, Generation: s.Generation,
		Behind: f.Generation - s.Generation, Platform: "reachable", Draining: s.Draining, Placing: s.Placing,
	}
	switch {
	case s.PlatformReachable:
	case s.PlatformSilentMs <= 0:
		g.Platform = "not heard yet"
	default:
		g.Platform = fmt.Sprintf("silent for %d s", s.PlatformSilentMs/1000)
	}
	return g
}

func (f *fleetStatus) newEndpointStatus(e *rudderv1.EndpointStatus) endpointStatus {
	r := e.GetReport()
	s := endpointStatus{
		Name: r.Endpoint, DataCentre: r.DataCentre, Generation: r.Generation, Behind: f.Generation - r.Generation,
		State: stateText(e), Role: r.Role, Service: r.Service,
		Queued: r.GetLoad().GetQueued(), Running: r.GetLoad().GetRunning(), Breaker: e.Breaker, SilentMS: e.SilentMs, Order: newOrderStatus(r.Order),
	}
	for _, m := range r.Models {
		name := m.Model + "@" + m.Version
		switch {
		case m.Loading:
			s.Loading = append(s.Loading, name)
		case m.Unloading:
			s.Unloading = append(s.Unloading, name)
		default:
			s.Models = append(s.Models, name)
		}
	}
	return s
}

// stateText returns the endpoint's state for display; its membership state, if
// there is one, comes first.
func stateText(e *rudderv1.EndpointStatus) string {
	if e.Membership != "" {
		return e.Membership
	}
	if !e.Connected {
		return "unreachable"
	}
	text := strings.TrimPrefix(e.GetReport().GetState().String(), "AGENT_STATE_")
	return strings.ToLower(strings.ReplaceAll(text, "_", "-"))
}

func (c *statusCommand) writeText(f fleetStatus) {
	c.app.printf("generation %d\n\n", f.Generation)
	t := tabwriter.NewWriter(c.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "gateway\tdata centre\tgeneration\tbehind\tplatform\tnote")
	for _, g := range f.Gateways {
		note := g.Error
		switch {
		case g.Draining:
			note = "draining"
		case g.Placing:
			note = "places models"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\n", firstOrDash(g.Name, g.Address), firstOrDash(g.DataCentre), g.Generation, g.Behind, firstOrDash(g.Platform), note)
	}
	fmt.Fprintln(t, "\nendpoint\tdata centre\tgeneration\tbehind\tstate\tholds\tloading\tqueued\trunning\torder")
	for _, e := range f.Endpoints {
		holds := strings.Join(e.Models, " ")
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", e.Name, e.DataCentre, e.Generation, e.Behind,
			e.State, firstOrDash(e.Service, holds), firstOrDash(strings.Join(e.Loading, " ")), e.Queued, e.Running, e.Order.text())
	}
	_ = t.Flush()
}

// firstOrDash returns the first text that is not empty, or "-".
func firstOrDash(texts ...string) string {
	for _, s := range texts {
		if s != "" {
			return s
		}
	}
	return "-"
}
