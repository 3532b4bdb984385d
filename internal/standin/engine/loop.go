package engine

import "time"

// loop steps the batch until it is empty; then it ends, so that an idle
// engine has no goroutine.
func (s *Server) loop() {
	var parts []part
	next := time.Now()
	for {
		s.awaitThaw()
		st, ok := s.step(parts)
		if !ok {
			return
		}
		parts = st.parts
		next = s.pace(next, st.cost)
		s.awaitThaw()
		s.apply(st)
	}
}

// maxLag is how much time lost to a busy machine is made up for. A longer
// pause, as of a stopped process, is not.
const maxLag = 50 * time.Millisecond

// pace sleeps until the step that began at from is over and returns its end.
func (s *Server) pace(from time.Time, cost time.Duration) time.Time {
	now := time.Now()
	if now.Sub(from) > maxLag {
		from = now
	}
	end := from.Add(cost)
	if ahead := end.Sub(now); ahead > s.cfg.Coalesce {
		time.Sleep(ahead)
	}
	return end
}

// step plans the next step; ok is false when the batch is empty.
func (s *Server) step(parts []part) (st step, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch.len() == 0 {
		s.stepping = false
		return step{}, false
	}
	st = s.batch.plan(s.cfg, parts)
	if s.faults.SlowFactor > 0 {
		st.cost = time.Duration(float64(st.cost) * s.faults.SlowFactor)
	}
	st.cost = s.cfg.scaled(st.cost)
	return st, true
}

// apply puts a step into effect. If its incarnation has died meanwhile, its
// runs have ended and those of the next have not begun to decode.
func (s *Server) apply(st step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.batch.advance(st, s.settle) {
		s.finish(r, finished)
	}
	if s.deathDue() {
		s.faults.DieAfterTokens = 0
		s.crash()
	}
}

func (s *Server) settle(r *run) { s.mem.settle(r.lease, r.done) }

// deathDue reports whether a run has emitted the token at which to die.
func (s *Server) deathDue() bool {
	if s.faults.DieAfterTokens == 0 {
		return false
	}
	for _, r := range s.batch.decodes {
		if r.record != nil && r.out-r.record.Resumed >= s.faults.DieAfterTokens {
			return true
		}
	}
	return false
}

// awaitThaw blocks while the engine is frozen.
func (s *Server) awaitThaw() {
	for {
		s.mu.Lock()
		frozen, thaw := s.faults.Hang, s.thaw
		s.mu.Unlock()
		if !frozen {
			return
		}
		<-thaw
	}
}
