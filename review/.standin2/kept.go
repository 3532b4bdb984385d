package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	keptRelays  = 4 // as many as the site has
	keptClients = 160
	// keptPause is the pause of a client between an answer and its next request, keptWork the time that the worker
	// takes for a request.
	keptPause = 4 * time.Millisecond
	keptWork  = 5 * time.Millisecond
	// keptLength is how long the relays are stopped and started in turn, and keptGap the pause between two of them.
	keptLength = 80 * time.Second
	keptGap    = 500 * time.Millisecond
	// unreadyTime is how long the platform takes to notice that a relay is not ready.
	unreadyTime = 2 * time.Second
)

// rotation is the platform's list of the relays that get new channels.
type rotation struct {
	mu sync.Mutex
	in map[*relayProcess]bool
}

func (r *rotation) set(p *relayProcess, in bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.in[p] = in
}

// pick returns a relay that gets new channels, or nil.
func (r *rotation) pick() *relayProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*relayProcess
	for p, in := range r.in {
		if in {
			all = append(all, p)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rand.IntN(len(all))]
}

// keptLoss is a request whose channel was closed with no complete answer.
type keptLoss struct {
	id          string
	relay       *relayProcess
	sent, ended time.Time
	err         error
}

// stopTime is a planned stop of a relay.
type stopTime struct {
	relay *relayProcess
	at    time.Time
}

// playKept stops and starts relays in turn while clients send on the channels that they keep. Each request may run
// once only.
func playKept(w *world, trouble bool) (string, error) {
	w.configurePlain(3, "k1")
	var ran sync.Map // by request id: when it began to run
	k, err := w.newWorker("i-1", "api", func(_ *worker, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		ran.Store(id, time.Now())
		time.Sleep(keptWork)
		rw.Header().Set("Response-Seal", seal(id))
		_, _ = fmt.Fprintf(rw, "answer to %s", id)
	})
	if err != nil {
		return "", err
	}
	k.announce("ready")
	relays, err := w.newRelays(keptRelays)
	if err != nil {
		return "", err
	}
	open := &rotation{in: make(map[*relayProcess]bool)}
	for _, p := range relays {
		if err := p.start(true); err != nil {
			return "", err
		}
	}
	for _, p := range relays {
		if err := p.waitReady(12 * time.Second); err != nil {
			return "", err
		}
		open.set(p, true)
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var sent atomic.Int64
	var mu sync.Mutex
	var losses []keptLoss
	ended := make(chan struct{})
	for i := range keptClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
				}
				p := open.pick()
				if p == nil {
					time.Sleep(keptPause)
					continue
				}
				if l := keepSending(p, fmt.Sprintf("c%d-%d", i, n), ended, &sent); l != nil {
					mu.Lock()
					losses = append(losses, *l)
					mu.Unlock()
				}
			}
		})
	}
	stops, err := rollRelays(relays, open, trouble)
	close(ended)
	clients.Wait()
	if err != nil {
		return "", err
	}
	w.note("%d requests, %d stops, %d channels closed with no answer", sent.Load(), len(stops), len(losses))
	return judgeKept(w, losses, stops, &ran, sent.Load()), nil
}

// rollRelays stops and starts the relays in turn, one at a time.
func rollRelays(relays []*relayProcess, open *rotation, trouble bool) (stops []stopTime, err error) {
	if !trouble {
		time.Sleep(keptLength / 2)
		return nil, nil
	}
	for n, end := 0, time.Now().Add(keptLength); time.Now().Before(end); n++ {
		p := relays[n%len(relays)]
		stops = append(stops, stopTime{p, time.Now()})
		if err := p.signal(syscall.SIGTERM); err != nil {
			return stops, err
		}
		time.AfterFunc(unreadyTime, func() { open.set(p, false) })
		select {
		case <-p.done:
		case <-time.After(graceTime):
			p.kill()
		}
		if err := p.start(false); err != nil {
			return stops, err
		}
		if err := p.waitReady(10 * time.Second); err != nil {
			return stops, err
		}
		open.set(p, true)
		time.Sleep(keptGap)
	}
	return stops, nil
}

// keepSending sends requests on one channel until it is closed. It returns the request that got no complete answer,
// or nil.
func keepSending(p *relayProcess, name string, ended <-chan struct{}, sent *atomic.Int64) *keptLoss {
	c, err := net.DialTimeout("tcp", p.address(), time.Second)
	if err != nil {
		return nil // nothing was sent
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-ended:
			return nil
		case <-time.After(keptPause):
		}
		l := &keptLoss{id: fmt.Sprintf("%s-%d", name, n), relay: p, sent: time.Now()}
		sent.Add(1)
		_ = c.SetDeadline(time.Now().Add(plainTimeout))
		_, l.err = fmt.Fprintf(c, "POST /price/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n", caseHost, l.id, plainTimeout.Milliseconds())
		var res *http.Response
		if l.err == nil {
			res, l.err = http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		}
		if l.err == nil {
			_, l.err = io.Copy(io.Discard, res.Body)
		}
		if l.ended = time.Now(); l.err != nil {
			return l
		}
		if res.Close {
			return nil
		}
	}
}

// judgeKept applies the rule LOST around a SIGTERM: a process has read a whole request and passed it on to a worker,
// and the channel closes with no complete answer. Requests that no worker ran crossed the close.
func judgeKept(w *world, losses []keptLoss, stops []stopTime, ran *sync.Map, sent int64) string {
	lost, first := 0, ""
	for _, l := range losses {
		at, ok := ran.Load(l.id)
		if !ok {
			continue
		}
		for _, s := range stops {
			since := l.ended.Sub(s.at)
			if s.relay != l.relay || since < 0 || since > graceTime+time.Second || l.ended.Sub(l.sent) >= plainTimeout {
				continue
			}
			text := fmt.Sprintf("%s, sent to %s %v after its SIGTERM, began to run %v after it; its channel was closed with no answer %v after it: %v", l.id, l.relay.name,
				l.sent.Sub(s.at), at.(time.Time).Sub(s.at), since, l.err)
			w.note("lost: %s", text)
			if lost++; first == "" {
				first = text
			}
			break
		}
	}
	if lost == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d requests, which may run once only, ran at a worker and their channels were closed with no answer at %d planned stops; the first: %s", lost, sent, len(stops), first)
}
