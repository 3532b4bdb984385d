package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

const (
	// copyAge is how old the copy of the store is that it comes back from.
	copyAge = 8 * time.Second
	// awayTime is how long the store is away, and rewriteAfter how long after its return the operator and the
	// workers have written again what is missing.
	awayTime     = time.Second
	rewriteAfter = time.Second
	// restartDelay is how long after their end the relays are started again.
	restartDelay  = 300 * time.Millisecond
	restoreRelays = 2
	plainTimeout  = 4 * time.Second
)

// configurePlain writes a version of the configuration with the keys that are valid.
func (w *world) configurePlain(version int, keys ...string) {
	tenants := []any{}
	for _, key := range keys {
		tenants = append(tenants, map[string]any{"name": "tenant-of-" + key, "apiKeys": []string{key}})
	}
	w.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "price", "host": caseHost, "pathPrefix": "/price/", "kind": "unsafe", "service": "api", "timeoutMs": 4000, "targetLatencyMs": 300,
			"maxAttempts": 2, "priority": 2}},
		"services": []any{map[string]any{"name": "api", "healthPath": "/health", "maxConnections": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	})
}

func servePlain(k *worker, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	run := k.begin(r)
	rw.Header().Set("Response-Seal", seal(id))
	_, _ = fmt.Fprintf(rw, "answer to %s", id)
	k.sent(run, true)
}

// playRestore kills all relays while the store is away, which comes back from an older copy that has a key that was
// withdrawn since. Without the trouble the relays are killed all the same.
func playRestore(w *world, trouble bool) (string, error) {
	w.configurePlain(3, "k1", "k2")
	k, err := w.newWorker("i-1", "api", servePlain)
	if err != nil {
		return "", err
	}
	k.announce("ready")
	relays, err := w.newRelays(restoreRelays)
	if err != nil {
		return "", err
	}
	for _, p := range relays {
		if err := p.start(true); err != nil {
			return "", err
		}
	}
	for _, p := range relays {
		if err := p.waitReady(12 * time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	older := w.store.Snapshot()
	copied := time.Now()
	w.note("the copy of the store is made")
	w.configurePlain(7, "k1")
	withdrawn := time.Now()
	w.note("the operator has withdrawn k2: confirmed")
	var clients sync.WaitGroup
	stop := make(chan struct{})
	answers := make([][]answer, len(relays))
	for i, p := range relays {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				q := request{id: fmt.Sprintf("%s-%d", p.name, n), method: http.MethodPost, path: "/price/x", key: "k2", deadline: plainTimeout}
				a := send(p.address(), q)
				answers[i] = append(answers[i], a)
			}
		})
	}
	time.Sleep(time.Until(copied.Add(copyAge - awayTime)))
	if trouble {
		w.store.SetFailure(usersplatform.Busy)
		w.note("the store is away")
	}
	for _, p := range relays {
		p.kill()
		w.note("%s was killed", p.name)
	}
	time.Sleep(restartDelay)
	for _, p := range relays {
		if err := p.start(false); err != nil {
			return "", err
		}
	}
	time.Sleep(awayTime - restartDelay)
	if trouble {
		w.store.Restore(older)
		w.store.SetFailure(usersplatform.NoFailure)
		w.note("the store is back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
	}
	time.Sleep(rewriteAfter)
	if trouble {
		w.store.Replay(older, false)
		w.note("the operator and the workers have written again")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return judgeRestore(w, k, withdrawn, answers), nil
}

// judgeRestore applies the rule CONFIG with strictRevoke: a request runs that was sent more than revokeMs after the
// confirmation of a configuration that removed its key.
func judgeRestore(w *world, k *worker, withdrawn time.Time, answers [][]answer) string {
	broken, first := 0, ""
	for _, list := range answers {
		statuses := make(map[int]int)
		for _, a := range list {
			late := a.sent.Sub(withdrawn)
			if late <= revokeTime {
				continue
			}
			statuses[a.status]++
			if len(k.runsOf(a.id)) == 0 {
				continue
			}
			if broken++; first == "" {
				first = fmt.Sprintf("%s, sent %v after the key was withdrawn, ran for %q; answered %v", a.id, late.Round(time.Millisecond), k.runsOf(a.id)[0].tenant, a)
			}
		}
		w.note("requests with k2 sent later than %v after its withdrawal, by status: %v", revokeTime, statuses)
	}
	if broken == 0 {
		return ""
	}
	return fmt.Sprintf("CONFIG: %d requests ran with a key that was withdrawn more than %v before they were sent; the first: %s", broken, revokeTime, first)
}
