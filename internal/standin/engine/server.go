package engine

import (
	"strconv"
	"sync"

	"github.com/micarudder/micarudder/engine"
)

// Server is one simulated engine.
type Server struct {
	cfg Config

	mu      sync.Mutex
	faults  Faults
	thaw    chan struct{} // closed when the engine is not frozen
	starts  int           // number of incarnations started
	crashed chan struct{} // closed when this incarnation crashes
	closed  bool
	seq     uint64
	batch   batch
	runs    map[string]*run
	mem     *memory
	held    map[string]*heldSpan
	looping bool
	refused int         // see Refused
	load    engine.Load // last report
	control *controlState
	events  *eventLog

	ledger ledger
	tasks  sync.WaitGroup // the loop and orders
}

// NewServer returns an engine with cfg.Models loaded.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, thaw: make(chan struct{})}
	close(s.thaw)
	s.startIncarnation()
	return s
}

// startIncarnation starts an incarnation with empty memory.
func (s *Server) startIncarnation() {
	s.starts++
	s.crashed = make(chan struct{})
	s.batch = batch{}
	s.runs = map[string]*run{}
	s.held = map[string]*heldSpan{}
	s.events = newEventLog(s.cfg)
	s.mem = newMemory(s.cfg.MemoryTokens, s.recordCacheEvent)
	s.control = newControlState(s.cfg)
	s.load = engine.Load{}
}

// incarnation returns the name of the current incarnation.
func (s *Server) incarnation() string {
	return s.cfg.Name + "-" + strconv.Itoa(s.starts)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Hang && !s.faults.Hang {
		s.thaw = make(chan struct{})
	}
	if !f.Hang && s.faults.Hang {
		close(s.thaw)
	}
	s.faults = f
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Crash ends this incarnation as if the process was killed, and starts another.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) crash() {
	for _, r := range s.runs {
		s.finish(r, died)
	}
	close(s.crashed)
	s.startIncarnation()
}

// Close ends all runs and waits for the engine's goroutines; later requests are refused.
func (s *Server) Close() {
	s.shutDown()
	s.tasks.Wait()
}

func (s *Server) shutDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.crash()
	if s.faults.Hang {
		s.faults.Hang = false
		close(s.thaw)
	}
}

// Executions returns the records of all runs since the process started.
func (s *Server) Executions() []Execution { return s.ledger.all() }

// Counts returns the numbers of executions.
func (s *Server) Counts() Counts { return s.ledger.counts() }

// addRun adds a run to the batch.
func (s *Server) addRun(r *run) {
	s.seq++
	r.seq = s.seq
	r.notify = make(chan struct{}, 1)
	s.runs[r.id] = r
	for _, h := range r.spans {
		h.readers++
	}
	if r.record != nil {
		s.ledger.add(r.record)
	}
	s.batch.add(r)
	if !s.looping {
		s.looping = true
		s.tasks.Go(s.loop)
	}
}

// finish removes a run from the engine and releases its memory.
func (s *Server) finish(r *run, state runState) {
	if s.runs[r.id] != r {
		return
	}
	r.state = state
	delete(s.runs, r.id)
	s.batch.remove(r)
	s.mem.release(r.lease)
	for _, h := range r.spans {
		h.readers--
	}
	if r.record != nil {
		s.ledger.finish(r.record, state, r.out)
	}
	if r.span != nil && state == finished {
		s.keepSpan(r.span)
	}
	r.wake()
}
