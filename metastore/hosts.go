package metastore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Labels of the host list.
const (
	labelHost       = "host"
	labelDataCentre = "data_centre"
	labelState      = "state"
)

// targetGroup is one element of the Prometheus HTTP service discovery format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Hosts implements HostLister with one GET of the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	r := request{kind: KindHosts, method: http.MethodGet, path: c.options.HostsPath}
	var hosts []Host
	err := c.roundTrip(ctx, r, func(data []byte) error {
		var err error
		hosts, err = decodeHosts(data)
		return err
	})
	return hosts, err
}

// decodeHosts decodes a host list. A host in an unknown state is treated as
// leaving, so that nothing new is placed on it.
func decodeHosts(data []byte) ([]Host, error) {
	var groups []targetGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, err
	}
	hosts := []Host{}
	for _, g := range groups {
		if g.Labels[labelHost] == "" {
			return nil, fmt.Errorf("host list: targets %v have no label %q", g.Targets, labelHost)
		}
		for _, t := range g.Targets {
			hosts = append(hosts, hostFromTarget(t, g.Labels))
		}
	}
	return hosts, nil
}

// hostFromTarget returns the host of one target.
func hostFromTarget(target string, labels map[string]string) Host {
	state := HostState(labels[labelState])
	if state != HostLive {
		state = HostLeaving
	}
	return Host{
		Name:       labels[labelHost],
		DataCentre: labels[labelDataCentre],
		State:      state,
		Address:    target,
	}
}
