package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/standin/answer"
	"github.com/micarudder/micarudder/prefix"
)

// spanJob is a prefill request as read from the wire.
type spanJob struct {
	id, owner string
	priority  int
	start     uint64
	tokens    uint64 // 0: to the prompt's end
	imports   []string
	body      answer.Body
}

func readSpanJob(r *http.Request) (*spanJob, *refusal) {
	raw, err := readBody(r)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	j := &spanJob{
		id:      r.Header.Get(engine.HeaderSpanID),
		owner:   r.Header.Get(engine.HeaderSpanOwner),
		imports: splitHandles(r.Header.Get(engine.HeaderImport)),
	}
	if j.body, err = answer.Parse(raw); err != nil {
		return nil, badRequest(err.Error())
	}
	if j.start, err = headerUint(r, engine.HeaderSpanStart); err != nil {
		return nil, badRequest("bad " + engine.HeaderSpanStart)
	}
	if j.tokens, err = headerUint(r, engine.HeaderSpanTokens); err != nil {
		return nil, badRequest("bad " + engine.HeaderSpanTokens)
	}
	if v := r.Header.Get(engine.HeaderPriority); v != "" {
		if j.priority, err = strconv.Atoi(v); err != nil {
			return nil, badRequest("bad " + engine.HeaderPriority)
		}
	}
	return j, j.check()
}

// check bounds the span by the prompt.
func (j *spanJob) check() *refusal {
	whole := prefix.Tokens(len(j.body.Prompt))
	if j.id == "" || j.start >= whole {
		return badRequest("the span has no id or begins after the prompt's end")
	}
	if j.tokens == 0 {
		j.tokens = whole - j.start
	}
	if j.tokens > whole-j.start {
		return badRequest("the span ends after the prompt's end")
	}
	return nil
}

// admitSpan takes memory for the span and puts its prefill into the batch.
func (s *Server) admitSpan(j *spanJob) (*run, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Refuse || s.closed:
		return nil, s.refusing()
	case !s.shop.serves(j.body.Model):
		return nil, errNoSuch
	case s.held[j.id] != nil || s.runs[j.id] != nil:
		return nil, errDuplicate
	}
	spans, at, refused := s.covered(j.imports, j.body.Model, j.body.Prompt)
	if refused != nil {
		return nil, refused
	}
	if at != j.start {
		return nil, badRequest("the imported spans do not end where this one begins")
	}
	l := s.mem.acquire(nil, 0, j.tokens)
	if l == nil {
		return nil, errNoMemory
	}
	rn := &run{
		id: j.id, priority: j.priority, target: j.start + j.tokens, done: j.start, cached: j.start, lease: l, reads: spans,
		span: &heldSpan{
			id: j.id, owner: j.owner, memory: j.tokens,
			span: spanOf(j.body.Model, j.body.Prompt, j.start, j.tokens),
		},
	}
	rn.uses, _ = s.shop.resolve(j.body.Model)
	s.enter(rn)
	return rn, nil
}

// keep turns a finished prefill's memory into a held span.
func (s *Server) keep(h *heldSpan) {
	s.mem.hold(h.memory)
	s.held[h.id] = h
}

func (s *Server) servePrefill(w http.ResponseWriter, r *http.Request) {
	j, refused := readSpanJob(r)
	if refused != nil {
		refused.write(w)
		return
	}
	if s.Faults().LosePrefill {
		<-r.Context().Done()
		abort()
	}
	rn, refused := s.admitSpan(j)
	if refused != nil {
		refused.write(w)
		return
	}
	switch s.await(r.Context(), rn) {
	case finished:
		s.answerSpan(w)
	case canceled:
		writeError(w, http.StatusInternalServerError, engine.CodeFailed, "cancelled")
	default:
		abort()
	}
}

// await returns how the run ended; it cancels the run when the caller leaves.
func (s *Server) await(ctx context.Context, r *run) ending {
	for {
		select {
		case <-r.notify:
		case <-ctx.Done():
			s.cancel(r)
			return canceled
		}
		s.mu.Lock()
		end := r.end
		s.mu.Unlock()
		if end != running {
			return end
		}
	}
}

func (s *Server) answerSpan(w http.ResponseWriter) {
	if s.Faults().LoseOrderAnswer {
		abort()
	}
	writeJSON(w, struct{}{})
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	id, refused := readID(r)
	if refused != nil {
		refused.write(w)
		return
	}
	s.mu.Lock()
	h := s.held[id]
	s.mu.Unlock()
	if h == nil {
		errNoSuch.write(w)
		return
	}
	if !s.transfer(r.Context(), h.span) {
		return
	}
	data, err := encodeSpan(h.span, s.cfg.ExportTokenBytes)
	if err != nil {
		writeError(w, http.StatusInternalServerError, engine.CodeFailed, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	raw, err := readBody(r)
	if err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	in, err := decodeSpan(raw)
	if err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	if refused := s.admitImport(r.Header.Get(engine.HeaderSpanID), r.Header.Get(engine.HeaderSpanOwner), in); refused != nil {
		refused.write(w)
		return
	}
	// Who leaves during the transfer has the span held all the same.
	s.transfer(r.Context(), in)
	s.answerSpan(w)
}

// transfer takes the time that a span's cache needs to travel; it reports
// false when the caller left first.
func (s *Server) transfer(ctx context.Context, in spanInfo) bool {
	t := time.NewTimer(s.cfg.scaled(time.Duration(in.Tokens) * s.cfg.Costs.TransferToken))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// admitImport holds an imported span. The same span under the same id is
// there already.
func (s *Server) admitImport(id, owner string, in spanInfo) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.closed {
		return s.refusing()
	}
	if h := s.held[id]; h != nil {
		if h.span == in {
			return nil
		}
		return errDuplicate
	}
	d := max(s.cfg.ImportDivisor, 1)
	h := &heldSpan{id: id, owner: owner, memory: (in.Tokens + d - 1) / d, span: in}
	if id == "" {
		return badRequest("the span has no id")
	}
	if !s.mem.hold(h.memory) {
		return errNoMemory
	}
	s.held[id] = h
	return nil
}

func (s *Server) serveFree(w http.ResponseWriter, r *http.Request) {
	id, refused := readID(r)
	if refused == nil {
		refused = s.free(id)
	}
	if refused != nil {
		refused.write(w)
		return
	}
	s.answerSpan(w)
}

// free releases a held span that no run reads.
func (s *Server) free(id string) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[id]
	if h == nil {
		return errNoSuch
	}
	if h.uses > 0 {
		return &refusal{http.StatusConflict, engine.CodeRefused, "a run reads the span", 0}
	}
	s.mem.unhold(h.memory)
	delete(s.held, id)
	return nil
}
