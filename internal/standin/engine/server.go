package engine

import (
	"strconv"
	"sync"

	"github.com/micarudder/micarudder/engine"
)

// Server is one stand-in engine.
type Server struct {
	cfg Config

	mu       sync.Mutex
	faults   Faults
	thaw     chan struct{} // closed when the engine is not frozen
	life     int           // counts incarnations
	crashed  chan struct{} // closed when this incarnation dies
	closed   bool
	seq      uint64
	batch    batch
	runs     map[string]*run
	mem      *memory
	held     map[string]*heldSpan
	stepping bool
	refused  int         // see Refused
	load     engine.Load // last report
	shop     *orderBook
	events   *eventLog

	ledger ledger
	work   sync.WaitGroup // the loop and orders
}

// NewServer returns an engine that holds cfg.Models from the start.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, thaw: make(chan struct{})}
	close(s.thaw)
	s.begin()
	return s
}

// begin starts an incarnation with empty memory.
func (s *Server) begin() {
	s.life++
	s.crashed = make(chan struct{})
	s.batch = batch{}
	s.runs = map[string]*run{}
	s.held = map[string]*heldSpan{}
	s.events = newEventLog(s.cfg)
	s.mem = newMemory(s.cfg.MemoryTokens, s.cacheEdge)
	s.shop = newOrderBook(s.cfg)
	s.load = engine.Load{}
}

// incarnation names this life of the engine.
func (s *Server) incarnation() string {
	return s.cfg.Name + "-" + strconv.Itoa(s.life)
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

// Faults returns the faults now in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Crash ends this incarnation as a killed process would and begins another.
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
	s.begin()
}

// Close ends all runs and waits for the engine's goroutines; it takes no more.
func (s *Server) Close() {
	s.shut()
	s.work.Wait()
}

func (s *Server) shut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.crash()
	if s.faults.Hang {
		s.faults.Hang = false
		close(s.thaw)
	}
}

// Executions returns the record of all runs since the process started.
func (s *Server) Executions() []Execution { return s.ledger.all() }

// Counts returns the executions counted.
func (s *Server) Counts() Counts { return s.ledger.counts() }

// enter puts a run into the batch.
func (s *Server) enter(r *run) {
	s.seq++
	r.seq = s.seq
	r.notify = make(chan struct{}, 1)
	s.runs[r.id] = r
	for _, h := range r.reads {
		h.uses++
	}
	if r.record != nil {
		s.ledger.add(r.record)
	}
	s.batch.add(r)
	if !s.stepping {
		s.stepping = true
		s.work.Go(s.loop)
	}
}

// finish takes a run out of the engine and gives its memory back.
func (s *Server) finish(r *run, how ending) {
	if s.runs[r.id] != r {
		return
	}
	r.end = how
	delete(s.runs, r.id)
	s.batch.remove(r)
	s.mem.release(r.lease)
	for _, h := range r.reads {
		h.uses--
	}
	if r.record != nil {
		s.ledger.end(r.record, how, r.out)
	}
	if r.span != nil && how == finished {
		s.keep(r.span)
	}
	r.wake()
}
