package engine

import "sync"

// Execution is the engine's own record of one run. A run is recorded when it enters the batch,
// however it ends.
type Execution struct {
	ID      string `json:"id"`
	Tag     string `json:"tag,omitempty"` // see answer.Tag
	Prompt  string `json:"prompt"`        // answer.Key of the prompt
	Resumed int    `json:"resumed,omitempty"`
	Output  int    `json:"output"` // index of the last token emitted, counted from the start of the answer
	End     string `json:"end"`    // running, finished, canceled or died
}

// Counts holds the numbers of executions by several keys. A resumed run continues an execution and
// is counted by its id and its end, and in Resumes.
type Counts struct {
	Total    int            `json:"total"`
	Finished int            `json:"finished"`
	Canceled int            `json:"canceled"`
	Died     int            `json:"died"`
	Resumes  map[string]int `json:"resumes"` // by prompt
	ByID     map[string]int `json:"by_id"`
	ByTag    map[string]int `json:"by_tag"`
	ByPrompt map[string]int `json:"by_prompt"`
}

// ledger records the executions of the process; a simulated crash of the engine does not clear it.
type ledger struct {
	mu   sync.Mutex
	list []*Execution
}

func (l *ledger) add(e *Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.End = running.String()
	l.list = append(l.list, e)
}

func (l *ledger) finish(e *Execution, state runState, out int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.End = state.String()
	e.Output = out
}

func (l *ledger) all() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Execution, len(l.list))
	for i, e := range l.list {
		out[i] = *e
	}
	return out
}

func (l *ledger) counts() Counts {
	c := Counts{Resumes: map[string]int{}, ByID: map[string]int{}, ByTag: map[string]int{}, ByPrompt: map[string]int{}}
	for _, e := range l.all() {
		c.add(e)
	}
	return c
}

func (c *Counts) add(e Execution) {
	c.ByID[e.ID]++
	c.countEnd(e.End)
	if e.Resumed > 0 {
		c.Resumes[e.Prompt]++
		return
	}
	c.Total++
	c.ByPrompt[e.Prompt]++
	if e.Tag != "" {
		c.ByTag[e.Tag]++
	}
}

func (c *Counts) countEnd(end string) {
	switch end {
	case finished.String():
		c.Finished++
	case canceled.String():
		c.Canceled++
	case died.String():
		c.Died++
	}
}
