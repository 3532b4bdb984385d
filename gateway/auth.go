package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// authenticator looks up the workspace of a bearer key in the current document.
// It builds its index once per generation.
type authenticator struct {
	mu     sync.Mutex
	doc    *rudderv1.Document
	byHash map[string]*rudderv1.Workspace
}

// workspace returns the workspace in doc to which the request's bearer key
// belongs.
func (a *authenticator) workspace(r *http.Request, doc *rudderv1.Document) (*rudderv1.Workspace, *result.Err) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, result.New(result.BadKey, "bearer key missing")
	}
	if doc.Generation == 0 {
		return nil, result.New(result.NotConfigured, "")
	}
	sum := sha256.Sum256([]byte(key))
	w, ok := a.index(doc)[hex.EncodeToString(sum[:])]
	if !ok {
		return nil, result.New(result.BadKey, "bearer key unknown")
	}
	return w, nil
}

func (a *authenticator) index(doc *rudderv1.Document) map[string]*rudderv1.Workspace {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.doc == doc {
		return a.byHash
	}
	m := make(map[string]*rudderv1.Workspace)
	for _, w := range doc.Workspaces {
		for _, d := range w.KeyDigests {
			m[strings.ToLower(d)] = w
		}
	}
	a.doc, a.byHash = doc, m
	return m
}
