package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/standin/answer"
	"github.com/micarudder/micarudder/prefix"
)

// completion is a parsed completion request.
type completion struct {
	id       string
	chat     bool
	stream   bool
	priority int
	model    string
	key      answer.Key
	prompt   string
	resume   []byte
	max      int
	imports  []string
}

// parseCompletion parses a completion request.
func parseCompletion(r *http.Request) (*completion, *refusal) {
	raw, err := readBody(r)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	resume, err := headerUint(r, engine.HeaderResumeBytes)
	if err != nil || resume > uint64(len(raw)) {
		return nil, badRequest("bad " + engine.HeaderResumeBytes)
	}
	body, err := answer.Parse(raw[resume:])
	if err != nil {
		return nil, badRequest(err.Error())
	}
	j := &completion{
		id:     r.Header.Get(engine.HeaderRequestID),
		chat:   strings.HasPrefix(r.URL.Path, "/v1/chat/"),
		stream: body.Stream || r.Header.Get(engine.HeaderStream) == "1",
		model:  body.Model,
		key:    answer.KeyOf(body.Prompt),
		prompt: body.Prompt,
		resume: raw[:resume],
		max:    body.MaxTokens,
	}
	return j, j.readHeaders(r)
}

func (j *completion) readHeaders(r *http.Request) *refusal {
	limit, err := headerUint(r, engine.HeaderMaxTokens)
	if err != nil {
		return badRequest("bad " + engine.HeaderMaxTokens)
	}
	if limit > 0 {
		j.max = min(j.max, int(limit))
	}
	if v := r.Header.Get(engine.HeaderPriority); v != "" {
		if j.priority, err = strconv.Atoi(v); err != nil {
			return badRequest("bad " + engine.HeaderPriority)
		}
	}
	j.imports = splitSpanIDs(r.Header.Get(engine.HeaderImport))
	if !j.key.Matches(j.resume) {
		return badRequest("the resume text is not the beginning of this answer")
	}
	if len(j.resume) >= j.max*answer.TokenBytes {
		return badRequest("the resume text is the whole answer")
	}
	return nil
}

func splitSpanIDs(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// admitCompletion checks a completion request and starts its run.
func (s *Server) admitCompletion(j *completion) (*run, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.closed {
		return nil, s.refuse()
	}
	if !s.control.serves(j.model) {
		return nil, errNotFound
	}
	if j.id == "" {
		j.id = "local-" + strconv.FormatUint(s.seq+1, 10)
	}
	if s.runs[j.id] != nil {
		return nil, errDuplicate
	}
	spans, matched, refused := s.matchSpans(j.imports, j.model, j.prompt)
	if refused != nil {
		return nil, refused
	}
	return s.startCompletion(j, spans, matched)
}

// startCompletion allocates memory for a run and adds it to the batch; its first covered prompt
// tokens come from held spans.
func (s *Server) startCompletion(j *completion, spans []*heldSpan, covered uint64) (*run, *refusal) {
	prompt := prefix.Tokens(len(j.prompt))
	var chain []uint64
	if covered == 0 {
		chain = prefix.Chain(j.model, []byte(j.prompt), 0)
	}
	l := s.mem.acquire(chain, covered, prompt+uint64(j.max))
	if l == nil {
		return nil, errNoMemory
	}
	resumed := len(j.resume) / answer.TokenBytes
	hit := uint64(len(l.pinned)) * prefix.BlockTokens
	r := &run{
		id:       j.id,
		priority: j.priority,
		target:   prompt + uint64(resumed),
		cached:   max(hit, covered),
		out:      resumed,
		max:      j.max,
		lease:    l,
		spans:    spans,
		record: &Execution{
			ID: j.id, Tag: answer.TagOf(j.prompt), Prompt: j.key.String(),
			Resumed: resumed, Output: resumed,
		},
	}
	r.done = r.cached
	r.model, _ = s.control.resolve(j.model)
	s.addRun(r)
	return r, nil
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	j, refused := parseCompletion(r)
	if refused != nil {
		refused.write(w)
		return
	}
	if s.Faults().LoseCompletion {
		<-r.Context().Done()
		abort()
	}
	rn, refused := s.admitCompletion(j)
	if refused != nil {
		refused.write(w)
		return
	}
	j.prompt = "" // the run needs only the key; this releases the prompt
	if s.Faults().LoseStart {
		abort()
	}
	a := &responder{s: s, w: w, req: j, run: rn, sent: len(j.resume)}
	if j.stream {
		a.stream(r.Context())
	} else {
		a.sendComplete(r.Context())
	}
}
