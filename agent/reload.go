package agent

import (
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/daemon"
)

// Reload implements daemon.Reloader: it takes the ticket keys. The TLS files
// are read at each handshake and only checked here; every other setting takes
// effect at the next start.
func (p *Process) Reload(fresh any) error {
	s, ok := fresh.(*Settings)
	if !ok {
		return trace.BadParameter("settings of another process")
	}
	if err := s.TLS.Files().Usable(); err != nil {
		return err
	}
	if err := s.Tickets.Rotate(p.a.deps.Signer); err != nil {
		return err
	}
	daemon.WarnRestart(p.a.deps.Log, p.settings, s, func(x *Settings) { x.Tickets.Keys = nil })
	return nil
}
