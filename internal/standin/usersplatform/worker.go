package usersplatform

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a request.
type Run struct {
	Worker    string
	Workspace string
	After     string // the event that a stream went on after
	At        time.Time
}

// Arrival is one request that reached a worker and was meant for it, whether that ran it or not.
type Arrival struct {
	Worker string
	Born   int64  // of the worker
	ID     string // of the request; empty: a gateway's own question or order
	At     time.Time
	// Said is what the answer says of the worker.
	Said Said
}

// Ledger keeps what all workers ran, by request id, and what reached them.
type Ledger struct {
	mu       sync.Mutex
	arrivals []Arrival
	runs     map[string][]Run
	hung     map[string]bool // requests that a worker of kind engine left without an answer
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string][]Run), hung: make(map[string]bool)} }

// Runs returns the executions of a request.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// Arrivals returns what reached workers, in the order of time.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

// Arrive writes down that a request reached a worker.
func (l *Ledger) Arrive(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// Add writes an execution down.
func (l *Ledger) Add(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// Faults are the shares of requests that a worker fails, each from 0 to 1.
type Faults struct {
	Refuse   float64 // 503, not run
	LoseRun  float64 // runs, then resets
	CutShort float64 // breaks off inside the answer
	Surplus  float64 // sends an answer to another request first
	// Of workers of kind engine:
	Hang       float64 // never begins and never answers
	LoseAnswer float64 // reads the prompt and never answers
}

// Worker is one incarnation of a back end.
type Worker struct {
	ID, Service, Kind string // Kind: plain, stream or engine
	Born              int64  // Unix milliseconds of its start
	ledger            *Ledger
	listener          net.Listener
	memory            *Memory // of kind engine

	mu     sync.Mutex
	faults Faults
	says   Said
	rests  float64 // part of the requests that are turned away with says.Rest
	// crashOn is the body of requests that end the worker when it begins them; ended is
	// called then.
	crashOn string
	ended   func()
	conns   map[net.Conn]bool
	random  *rand.Rand
}

// StreamEvents is how many events a stream has.
const StreamEvents = 6

// crashTime is how long a worker runs a request that ends it.
const crashTime = 60 * time.Millisecond

// eventPause is the time between two events.
const eventPause = 20 * time.Millisecond

// NewWorker starts a worker on a loopback address.
func NewWorker(id, service, kind, address string, ledger *Ledger, seed uint64) (*Worker, error) {
	return start(&Worker{ID: id, Service: service, Kind: kind, ledger: ledger}, address, seed)
}

// NewEngine starts a worker of kind engine with its part of the memory.
func NewEngine(id, service, address string, ledger *Ledger, memory *Memory, seed uint64) (*Worker, error) {
	return start(&Worker{ID: id, Service: service, Kind: "engine", ledger: ledger, memory: memory}, address, seed)
}

func start(w *Worker, address string, seed uint64) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.listener, w.Born = l, time.Now().UnixMilli()
	w.conns, w.random = make(map[net.Conn]bool), rand.New(rand.NewPCG(seed, 1))
	go w.accept()
	return w, nil
}

// Address returns where the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// SetFaults sets what the worker fails from now on.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// CrashOn makes each request with this body end the worker; ended is called once.
func (w *Worker) CrashOn(body string, ended func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashOn, w.ended = body, ended
}

// crashesOn reports whether a body ends the worker.
func (w *Worker) crashesOn(body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashOn != "" && string(body) == w.crashOn
}

// crash ends the worker as the request that it began makes it.
func (w *Worker) crash() {
	w.mu.Lock()
	ended := w.ended
	w.ended = nil
	w.mu.Unlock()
	w.Crash()
	if ended != nil {
		ended()
	}
}

// Crash ends the worker and resets its connections.
func (w *Worker) Crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
	}
	if w.memory != nil {
		w.memory.drop(w.ID)
	}
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.answer(c, br, r, body) {
			return
		}
	}
}

// answer answers one request; it reports false when the connection is over.
func (w *Worker) answer(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Expect-Instance") != w.ID {
		return whole(c, id, "421 Misdirected Request", "Not-Executed: 1\r\n", "")
	}
	said := w.saying(isQuestion(r))
	w.ledger.Arrive(Arrival{w.ID, w.Born, id, time.Now(), said})
	if w.memory != nil {
		if goOn, ok := w.aboutMemory(c, r, body, said); ok {
			return goOn
		}
	}
	f, chance := w.draw()
	if said.Rest != "" || chance[0] < f.Refuse {
		return whole(c, id, "503 Service Unavailable", said.lines()+"Not-Executed: 1\r\n", "")
	}
	w.ledger.Add(id, Run{w.ID, r.Header.Get("Tenant"), r.Header.Get("Last-Event-Id"), time.Now()})
	if w.crashesOn(body) {
		time.Sleep(crashTime)
		w.crash()
		return false
	}
	if chance[1] < f.LoseRun {
		reset(c)
		return false
	}
	if chance[2] < f.Surplus && !whole(c, "another", "200 OK", "", "not yours") {
		return false
	}
	if w.memory != nil {
		return w.prompt(c, br, r, id, said, f, chance[3])
	}
	if w.Kind == "stream" {
		return w.stream(c, r, id, said, chance[3] < f.CutShort)
	}
	text := Body(id)
	if chance[3] < f.CutShort {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, Seal(id), said.lines(), len(text), text[:len(text)/2])
		return false
	}
	return whole(c, id, "200 OK", said.lines()+"Response-Seal: "+Seal(id)+"\r\n", text)
}

// draw returns the faults and one chance for each.
func (w *Worker) draw() (Faults, [4]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var chance [4]float64
	for i := range chance {
		chance[i] = w.random.Float64()
	}
	return w.faults, chance
}

// stream sends the events after the one that the request names.
func (w *Worker) stream(c net.Conn, r *http.Request, id string, said Said, cut bool) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n", id, Seal(id), said.lines()); err != nil {
		return false
	}
	for n := after + 1; n <= StreamEvents; n++ {
		event := Event(id, n)
		if cut && n == after+2 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event)/2, event[:len(event)/2])
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// Body returns the answer of a plain service to a request.
func Body(id string) string { return strings.Repeat(id+".", 40) }

// Seal returns the signature of the answer to a request.
func Seal(id string) string { return "seal-" + id }

// Event returns the nth event of the stream that answers a request.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func whole(c net.Conn, id, status, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
	return err == nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
