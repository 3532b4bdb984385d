package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/standin/answer"
	"github.com/micarudder/micarudder/prefix"
)

// job is a completion request as read from the wire.
type job struct {
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

// readJob reads a completion request.
func readJob(r *http.Request) (*job, *refusal) {
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
	j := &job{
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

func (j *job) readHeaders(r *http.Request) *refusal {
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
	j.imports = splitHandles(r.Header.Get(engine.HeaderImport))
	if !j.key.Matches(j.resume) {
		return badRequest("the resume text is not the beginning of this answer")
	}
	if len(j.resume) >= j.max*answer.TokenBytes {
		return badRequest("the resume text is the whole answer")
	}
	return nil
}

func splitHandles(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// admit takes memory for the job and puts it into the batch.
func (s *Server) admit(j *job) (*run, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.closed {
		return nil, s.refusing()
	}
	if !s.shop.serves(j.model) {
		return nil, errNoSuch
	}
	if j.id == "" {
		j.id = "local-" + strconv.FormatUint(s.seq+1, 10)
	}
	if s.runs[j.id] != nil {
		return nil, errDuplicate
	}
	spans, covered, refused := s.covered(j.imports, j.model, j.prompt)
	if refused != nil {
		return nil, refused
	}
	return s.start(j, spans, covered)
}

// start begins a run whose first covered prompt tokens come from held spans.
func (s *Server) start(j *job, spans []*heldSpan, covered uint64) (*run, *refusal) {
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
		reads:    spans,
		record: &Execution{
			ID: j.id, Tag: answer.TagOf(j.prompt), Prompt: j.key.String(),
			Resumed: resumed, Output: resumed,
		},
	}
	r.done = r.cached
	r.uses, _ = s.shop.resolve(j.model)
	s.enter(r)
	return r, nil
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	j, refused := readJob(r)
	if refused != nil {
		refused.write(w)
		return
	}
	if s.Faults().LoseCompletion {
		<-r.Context().Done()
		abort()
	}
	rn, refused := s.admit(j)
	if refused != nil {
		refused.write(w)
		return
	}
	j.prompt = "" // the run needs its key only
	if s.Faults().LoseStart {
		abort()
	}
	a := &answering{s: s, w: w, job: j, run: rn, sent: len(j.resume)}
	if j.stream {
		a.stream(r.Context())
	} else {
		a.whole(r.Context())
	}
}
