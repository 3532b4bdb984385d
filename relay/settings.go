package relay

import (
	"time"

	"github.com/micarudder/micarudder/daemon"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/settings"
)

// Settings holds the INI settings of rudder-relay.
type Settings struct {
	Relay struct {
		Name           string             `key:"name" required:"true" help:"name of this gateway, unique in the installation"`
		DataCentre     string             `key:"data_centre" required:"true" help:"data centre that this host stands in"`
		Listen         settings.Address   `key:"listen" required:"true" help:"address for callers"`
		ReadyListen    settings.Address   `key:"ready_listen" required:"true" help:"address that the balancer asks whether this gateway is ready"`
		PeerListen     settings.Address   `key:"peer_listen" required:"true" help:"address for other gateways, TCP and UDP; all gateways use the same port"`
		Seeds          []settings.Address `key:"seeds" help:"addresses of some gateways' hosts, used while the store cannot tell them; only the IP numbers count"`
		FirstStart     bool               `key:"first_start" default:"false" help:"whether the whole installation starts for the first time; then the gateways that seeds names read the store for the others"`
		BodyMemory     settings.Size      `key:"body_memory" default:"112MiB" help:"most memory of request bodies that are held at once, and two fifths of host_memory at most; more are refused with a time to come back; a quarter is for bodies of 256KiB or less"`
		ResponseMemory settings.Size      `key:"response_memory" default:"32MiB" help:"most memory for what responses hold beyond 16KiB for each of their heads, incomplete events and buffers, and an eighth of host_memory at most; the response that occupies most gives way to others"`
	} `section:"relay"`
	Store struct {
		Address settings.Address `key:"address" required:"true" help:"address of the platform's key-value service"`
	} `section:"store"`
	Endpoints struct {
		DialTimeout time.Duration `key:"dial_timeout" default:"400ms" min:"10ms" help:"longest wait for a connection to an endpoint"`
		MaxIdle     time.Duration `key:"max_idle" default:"8s" min:"10ms" help:"longest that a connection to an endpoint is kept without use"`
		IdlePerHost int           `key:"idle_per_host" default:"24" min:"1" help:"most connections kept without use to one endpoint"`
	} `section:"endpoints"`
	Bounds struct {
		RevokeAfter  time.Duration `key:"revoke_after" default:"0s" help:"how long after its removal a key may still be used; 0s: no proof of the configuration's age is needed"`
		RetryRatio   float64       `key:"retry_ratio" default:"0.2" min:"0" help:"second sends for each first one, all gateways together"`
		RetrySlack   float64       `key:"retry_slack" default:"100" min:"0" help:"second sends in a window beyond the ratio, all gateways together"`
		RetryWindow  time.Duration `key:"retry_window" default:"10s" min:"1s" help:"window of the two"`
		UnusedMemory time.Duration `key:"unused_memory" default:"9s" min:"1s" help:"longest that memory may stay set aside at an endpoint without use; below 5s a release that is lost may keep it longer"`
	} `section:"bounds"`
	Load struct {
		ForwardMessages bool `key:"forward_messages" default:"false" help:"whether messages to the gateways of another data centre are sent to two of them, which send them on"`
		ResidualLoad    bool `key:"residual_load" default:"false" help:"whether requests of gateway processes that are gone count as load of their endpoints"`
		StallResume     bool `key:"stall_resume" default:"false" help:"whether a stream that has begun and makes no progress moves to another endpoint, once that one delivers"`
		// SlowReaderTimeout applies to callers and to endpoints.
		SlowReaderTimeout time.Duration `key:"slow_reader_timeout" default:"0s" min:"0s" help:"after how long without reading anything a caller or an endpoint is disconnected; 0s: only at the request's deadline"`
		HeldMemory        settings.Size `key:"held_memory" default:"0B" help:"most memory for the connections, buffers and responses of the requests that are served at once; more are refused with a time to come back; 0B: no bound"`
	} `section:"load"`
	Log struct {
		LinesPerSecond float64 `key:"lines_per_second" default:"300" min:"0" help:"request lines a second; more are counted and left out"`
	} `section:"log"`
	Process daemon.Common `section:"process"`
}

// Check implements settings.Checker.
func (s *Settings) Check() []*settings.Mistake {
	var out []*settings.Mistake
	if s.Bounds.RevokeAfter > 0 && s.Bounds.RevokeAfter < minRevokeAfter {
		out = append(out, &settings.Mistake{Section: "bounds", Key: "revoke_after", Problem: "is shorter than two reads of the configuration", Allowed: "0s, or at least " + minRevokeAfter.String()})
	}
	return out
}

// minRevokeAfter allows for one read that fails and one that succeeds.
const minRevokeAfter = 2 * readInterval

// responseMemoryPercent is the part of the host's memory, in percent, that responses may use.
const responseMemoryPercent = 12.5

// config returns the settings of the gateway itself.
func (s *Settings) config() Config {
	return Config{
		Name: s.Relay.Name, DataCentre: s.Relay.DataCentre, RevokeAfter: s.Bounds.RevokeAfter, DrainTime: s.Process.DrainTime,
		FirstStart: s.Relay.FirstStart, UnusedMemory: s.Bounds.UnusedMemory,
		BodyMemory: s.Process.WithinHost(s.Relay.BodyMemory, daemon.BodyMemoryPercent), ResidualLoad: s.Load.ResidualLoad,
		StallResume: s.Load.StallResume, SlowReaderTimeout: s.Load.SlowReaderTimeout, MaxConns: s.Process.CallerConns(), HeldMemory: int64(s.Load.HeldMemory),
		Retries: limits.RetryWindowConfig{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
	}
}
