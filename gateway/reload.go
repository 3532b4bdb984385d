package gateway

import (
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/daemon"
)

// Reload implements daemon.Reloader. It applies the ticket keys; all other
// settings take effect at the next start.
func (p *Process) Reload(fresh any) error {
	s, ok := fresh.(*Settings)
	if !ok {
		return trace.BadParameter("settings are not those of a gateway")
	}
	if err := daemon.ReloadKeys(s.TLS, s.Tickets.Tickets, p.g.deps.Signer); err != nil {
		return err
	}
	daemon.WarnRestartRequired(p.g.deps.Log, p.settings, s, func(x *Settings) { x.Tickets.Keys = nil })
	return nil
}
