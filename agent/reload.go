package agent

import (
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/daemon"
)

// Reload implements daemon.Reloader: it applies the ticket keys; every other setting takes
// effect at the next start.
func (p *Process) Reload(fresh any) error {
	s, ok := fresh.(*Settings)
	if !ok {
		return trace.BadParameter("settings of another process")
	}
	if err := daemon.ReloadKeys(s.TLS, s.Tickets, p.a.deps.Signer); err != nil {
		return err
	}
	daemon.WarnRestartRequired(p.a.deps.Log, p.settings, s, func(x *Settings) { x.Tickets.Keys = nil })
	return nil
}
