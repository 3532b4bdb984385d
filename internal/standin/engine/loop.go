package engine

import "time"

// loop steps the batch until it is empty; then it returns, so that an idle engine has no goroutine.
func (s *Server) loop() {
	var chunks []prefillChunk
	next := time.Now()
	for {
		s.awaitThaw()
		st, ok := s.step(chunks)
		if !ok {
			return
		}
		chunks = st.chunks
		next = s.pace(next, st.cost)
		s.awaitThaw()
		s.apply(st)
	}
}

// maxLag is the longest delay, as on a busy machine, for which the loop catches up. Longer pauses,
// as of a stopped process, are not made up for.
const maxLag = 50 * time.Millisecond

// pace sleeps until the end of the step that began at from and returns that time.
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
func (s *Server) step(chunks []prefillChunk) (st step, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch.len() == 0 {
		s.looping = false
		return step{}, false
	}
	st = s.batch.plan(s.cfg, chunks)
	if s.faults.SlowFactor > 0 {
		st.cost = time.Duration(float64(st.cost) * s.faults.SlowFactor)
	}
	st.cost = s.cfg.scaled(st.cost)
	return st, true
}

// apply applies a step. If its incarnation has crashed meanwhile, the step's runs have ended, and
// the runs of the new incarnation have not begun to decode.
func (s *Server) apply(st step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.batch.advance(st, s.cacheComputed) {
		s.finish(r, finished)
	}
	if s.crashDue() {
		s.faults.DieAfterTokens = 0
		s.crash()
	}
}

func (s *Server) cacheComputed(r *run) { s.mem.cacheComputed(r.lease, r.done) }

// crashDue reports whether a run has emitted the number of tokens at which the engine is to crash.
func (s *Server) crashDue() bool {
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
