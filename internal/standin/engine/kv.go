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

// prefillRequest is a parsed prefill request.
type prefillRequest struct {
	id, owner string
	priority  int
	start     uint64
	tokens    uint64 // 0: to the end of the prompt
	imports   []string
	body      answer.Body
}

func parsePrefill(r *http.Request) (*prefillRequest, *refusal) {
	raw, err := readBody(r)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	j := &prefillRequest{
		id:      r.Header.Get(engine.HeaderSpanID),
		owner:   r.Header.Get(engine.HeaderSpanOwner),
		imports: splitSpanIDs(r.Header.Get(engine.HeaderImport)),
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

// check verifies that the span lies within the prompt; without a length it extends to the end of
// the prompt.
func (j *prefillRequest) check() *refusal {
	promptTokens := prefix.Tokens(len(j.body.Prompt))
	if j.id == "" || j.start >= promptTokens {
		return badRequest("the span has no id or begins after the prompt's end")
	}
	if j.tokens == 0 {
		j.tokens = promptTokens - j.start
	}
	if j.tokens > promptTokens-j.start {
		return badRequest("the span ends after the prompt's end")
	}
	return nil
}

// admitPrefill allocates memory for the span and adds its prefill to the batch.
func (s *Server) admitPrefill(j *prefillRequest) (*run, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Refuse || s.closed:
		return nil, s.refuse()
	case !s.control.serves(j.body.Model):
		return nil, errNotFound
	case s.held[j.id] != nil || s.runs[j.id] != nil:
		return nil, errDuplicate
	}
	spans, at, refused := s.matchSpans(j.imports, j.body.Model, j.body.Prompt)
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
		id: j.id, priority: j.priority, target: j.start + j.tokens, done: j.start, cached: j.start, lease: l, spans: spans,
		span: &heldSpan{
			id: j.id, owner: j.owner, memory: j.tokens,
			span: newSpanInfo(j.body.Model, j.body.Prompt, j.start, j.tokens),
		},
	}
	rn.model, _ = s.control.resolve(j.body.Model)
	s.addRun(rn)
	return rn, nil
}

// keepSpan keeps the memory of a finished prefill as a held span.
func (s *Server) keepSpan(h *heldSpan) {
	s.mem.hold(h.memory)
	s.held[h.id] = h
}

func (s *Server) servePrefill(w http.ResponseWriter, r *http.Request) {
	j, refused := parsePrefill(r)
	if refused != nil {
		refused.write(w)
		return
	}
	if s.Faults().LosePrefill {
		<-r.Context().Done()
		abort()
	}
	rn, refused := s.admitPrefill(j)
	if refused != nil {
		refused.write(w)
		return
	}
	switch s.awaitRun(r.Context(), rn) {
	case finished:
		s.confirmSpan(w)
	case canceled:
		writeError(w, http.StatusInternalServerError, engine.CodeFailed, "cancelled")
	default:
		abort()
	}
}

// awaitRun returns the final state of a run; it cancels the run when the caller disconnects.
func (s *Server) awaitRun(ctx context.Context, r *run) runState {
	for {
		select {
		case <-r.notify:
		case <-ctx.Done():
			s.cancel(r)
			return canceled
		}
		s.mu.Lock()
		state := r.state
		s.mu.Unlock()
		if state != running {
			return state
		}
	}
}

func (s *Server) confirmSpan(w http.ResponseWriter) {
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
		errNotFound.write(w)
		return
	}
	if !s.awaitTransfer(r.Context(), h.span) {
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
	// The span stays held if the caller disconnects during the transfer.
	s.awaitTransfer(r.Context(), in)
	s.confirmSpan(w)
}

// awaitTransfer waits for the time that the transfer of a span takes; it reports false if the
// caller disconnected first.
func (s *Server) awaitTransfer(ctx context.Context, in spanInfo) bool {
	t := time.NewTimer(s.cfg.scaled(time.Duration(in.Tokens) * s.cfg.Costs.TransferToken))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// admitImport holds an imported span. Repeating an import with the same id and span succeeds.
func (s *Server) admitImport(id, owner string, in spanInfo) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.closed {
		return s.refuse()
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
		refused = s.freeSpan(id)
	}
	if refused != nil {
		refused.write(w)
		return
	}
	s.confirmSpan(w)
}

// freeSpan releases a held span, unless a run reads it.
func (s *Server) freeSpan(id string) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[id]
	if h == nil {
		return errNotFound
	}
	if h.readers > 0 {
		return &refusal{http.StatusConflict, engine.CodeRefused, "a run reads the span", 0}
	}
	s.mem.releaseHeld(h.memory)
	delete(s.held, id)
	return nil
}
