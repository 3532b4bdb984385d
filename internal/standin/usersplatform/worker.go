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
	Worker       string
	Workspace    string
	ResumedAfter string // the event after which a stream was resumed
	At           time.Time
}

// Arrival is one request that reached the worker for which it was meant, whether the worker ran it
// or not.
type Arrival struct {
	Worker    string
	StartedMs int64  // start of the worker, Unix milliseconds
	ID        string // of the request; empty: a report request or order of a gateway
	At        time.Time
	// Statement is what the response states about the worker.
	Statement Statement
}

// Ledger records what all workers ran, by request id, and what reached them.
type Ledger struct {
	mu       sync.Mutex
	arrivals []Arrival
	runs     map[string][]Run
	hung     map[string]bool // requests that a worker of kind engine left without a response
	stalls   map[string]Stall
	endless  []EndlessRun
	floods   map[string]bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string][]Run), hung: make(map[string]bool), stalls: make(map[string]Stall), floods: make(map[string]bool)}
}

// Runs returns the executions of a request.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// Arrivals returns what reached workers, in order of time.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

// AddArrival records that a request reached a worker.
func (l *Ledger) AddArrival(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// AddRun records an execution.
func (l *Ledger) AddRun(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// Faults holds the shares of requests that fail in each way, each from 0 to 1.
type Faults struct {
	Refuse        float64 // 503, not run
	LoseRun       float64 // runs, then resets the connection
	Truncate      float64 // closes the connection inside the response
	ExtraResponse float64 // sends a response to another request first
	Flood         float64 // sends without end, or holds back the end of what it has sent
	// Of workers of kind stream:
	Stall float64 // sends one event and then nothing, until the gateway closes the connection
	// Of workers of kind engine:
	Hang         float64 // does not run and never responds
	LoseResponse float64 // reads the prompt and never responds
}

// Worker is one incarnation of a back end.
type Worker struct {
	ID, Service, Kind string // Kind: plain, stream or engine
	StartedMs         int64  // Unix milliseconds
	DataCentre        string
	ledger            *Ledger
	listener          net.Listener
	memory            *Memory // of kind engine

	mu           sync.Mutex
	faults       Faults
	statement    Statement
	backoffShare float64 // share of the requests that are rejected with statement.Backoff
	crashOn      CrashTrigger
	onCrash      func()
	conns        map[net.Conn]bool
	random       *rand.Rand
	// framing decides whether a stream is sent in chunks; see stream.
	framing *rand.Rand
	// flooding decides which requests get a response without end; see flood.
	flooding *rand.Rand
}

// CrashTrigger says which requests end a worker when it begins them.
type CrashTrigger struct {
	Body string // requests with this body; empty: none
	Part string // requests whose prompts share this part; empty: none
}

// StreamEvents is the number of events in a stream.
const StreamEvents = 6

// crashDelay is how long a worker runs a crashing request until it ends.
const crashDelay = 60 * time.Millisecond

// eventInterval is the time between two events.
const eventInterval = 20 * time.Millisecond

// NewWorker starts a worker on a loopback address.
func NewWorker(id, service, kind, dataCentre, address string, ledger *Ledger, seed uint64) (*Worker, error) {
	return start(&Worker{ID: id, Service: service, Kind: kind, DataCentre: dataCentre, ledger: ledger}, address, seed)
}

// NewEngine starts a worker of kind engine, with its reservations in memory.
func NewEngine(id, service, dataCentre, address string, ledger *Ledger, memory *Memory, seed uint64) (*Worker, error) {
	return start(&Worker{ID: id, Service: service, Kind: "engine", DataCentre: dataCentre, ledger: ledger, memory: memory}, address, seed)
}

func start(w *Worker, address string, seed uint64) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.listener, w.StartedMs = l, time.Now().UnixMilli()
	w.conns, w.random = make(map[net.Conn]bool), rand.New(rand.NewPCG(seed, 1))
	w.framing = rand.New(rand.NewPCG(seed, 2))
	w.flooding = rand.New(rand.NewPCG(seed, 3))
	go w.accept()
	return w, nil
}

// Address returns the address on which the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// SetFaults sets the faults from now on.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// CrashOn makes these requests end the worker; onCrash is called once.
func (w *Worker) CrashOn(trigger CrashTrigger, onCrash func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashOn, w.onCrash = trigger, onCrash
}

// crashesOn reports whether a request ends the worker.
func (w *Worker) crashesOn(r *http.Request, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashOn.Body != "" && string(body) == w.crashOn.Body || sharesPart(r, w.crashOn.Part)
}

// drawFraming reports whether a stream is sent without a length and without chunks, so that it ends with its
// connection.
func (w *Worker) drawFraming() (unframed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.framing.IntN(4) == 0
}

// crash ends the worker because of a crashing request.
func (w *Worker) crash() {
	w.mu.Lock()
	onCrash := w.onCrash
	w.onCrash = nil
	w.mu.Unlock()
	w.Crash()
	if onCrash != nil {
		onCrash()
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
		w.memory.dropWorker(w.ID)
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
		if !w.respond(c, br, r, body) {
			return
		}
	}
}

// respond answers one request; it reports whether the connection stays open.
func (w *Worker) respond(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Expect-Instance") != w.ID {
		return writeResponse(c, id, "421 Misdirected Request", "Not-Executed: 1\r\n", "")
	}
	statement := w.nextStatement(isGatewayCall(r))
	w.ledger.AddArrival(Arrival{w.ID, w.StartedMs, id, time.Now(), statement})
	if w.memory != nil {
		if keepOpen, ok := w.handleMemoryCall(c, r, body, statement); ok {
			return keepOpen
		}
	}
	f, chance := w.drawFaults()
	if statement.Backoff != "" || chance[0] < f.Refuse {
		return writeResponse(c, id, "503 Service Unavailable", statement.headerLines()+"Not-Executed: 1\r\n", "")
	}
	w.ledger.AddRun(id, Run{w.ID, r.Header.Get("Tenant"), r.Header.Get("Last-Event-Id"), time.Now()})
	if w.crashesOn(r, body) {
		time.Sleep(crashDelay)
		w.crash()
		return false
	}
	if chance[1] < f.LoseRun {
		reset(c)
		return false
	}
	if chance[2] < f.ExtraResponse && !writeResponse(c, "another", "200 OK", "", "not yours") {
		return false
	}
	if form, ok := w.drawFlood(f.Flood); ok {
		return w.flood(c, id, form)
	}
	if w.memory != nil {
		return w.servePrompt(c, br, r, id, statement, f, chance[3])
	}
	if w.Kind == "stream" && string(body) == EndlessBody {
		return w.streamEndlessly(c, id, statement)
	}
	if w.Kind == "stream" && chance[3] < f.Stall {
		return w.stall(c, br, r, id, statement)
	}
	if w.Kind == "stream" {
		return w.stream(c, r, id, statement, chance[3] < f.Truncate)
	}
	text := Body(id)
	if chance[3] < f.Truncate {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, Seal(id), statement.headerLines(), len(text), text[:len(text)/2])
		return false
	}
	return writeResponse(c, id, "200 OK", statement.headerLines()+"Response-Seal: "+Seal(id)+"\r\n", text)
}

// drawFaults returns the faults and a random number for each decision about them.
func (w *Worker) drawFaults() (Faults, [4]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var chance [4]float64
	for i := range chance {
		chance[i] = w.random.Float64()
	}
	return w.faults, chance
}

// stream sends the events after the one that the request names, in chunks or until the connection ends. If cut
// is set, the connection ends inside the second of them.
func (w *Worker) stream(c net.Conn, r *http.Request, id string, statement Statement, cut bool) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	unframed := w.drawFraming()
	if !writeStreamHead(c, id, statement, unframed) {
		return false
	}
	write := func(text string) bool {
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
	for n := after + 1; n <= StreamEvents; n++ {
		event := Event(id, n)
		if cut && n == after+2 {
			write(event[:len(event)/2])
			return false
		}
		if !write(event) {
			return false
		}
		time.Sleep(eventInterval)
	}
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// writeStreamHead writes the head of a stream.
func writeStreamHead(c net.Conn, id string, statement Statement, unframed bool) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = ""
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\n%s%s\r\n", id, Seal(id), statement.headerLines(), framing)
	return err == nil
}

// Body returns the response body of a plain service.
func Body(id string) string { return strings.Repeat(id+".", 40) }

// Seal returns the seal of the response to a request.
func Seal(id string) string { return "seal-" + id }

// Event returns the nth event of the stream that answers a request.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func writeResponse(c net.Conn, id, status, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
	return err == nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
