package quarantine

import (
	"bytes"
	"testing"
	"time"
)

// BenchmarkHead is what a request costs while anything is known: 0.25 µs.
func BenchmarkHead(b *testing.B) {
	r := Request{Workspace: "workspace-17", Method: "POST", Host: "captions.example", Target: "/albums/2f/captions?page=3", Body: make([]byte, 5000)}
	for b.Loop() {
		r.Head()
	}
}

// BenchmarkFingerprint is what a prompt of a million tokens (4 MB) costs whose head is known:
// 2.9 ms.
func BenchmarkFingerprint(b *testing.B) {
	r := Request{Workspace: "workspace-17", Method: "POST", Host: "captions.example", Target: "/albums/2f", Body: bytes.Repeat([]byte("text "), 800_000)}
	b.SetBytes(int64(len(r.Body)))
	for b.Loop() {
		r.Fingerprint()
	}
}

// BenchmarkVerdict is one look at a full table: 0.07 µs.
func BenchmarkVerdict(b *testing.B) {
	t, now := full()
	for b.Loop() {
		t.Verdict(Fingerprint{7, 1}, now)
	}
}

// BenchmarkRemember is one more crash where the table is full: 13 µs, and 434 µs while each
// looked for the oldest request.
func BenchmarkRemember(b *testing.B) {
	t, now := full()
	n := uint64(MostRequests)
	for b.Loop() {
		n++
		now = now.Add(time.Millisecond)
		t.Crashed(Fingerprint{n, 1}, Crash{Endpoint: 1, At: now}, now)
	}
}

func full() (*Table, time.Time) {
	t, now := NewTable(), start
	for n := range uint64(MostRequests) {
		now = now.Add(time.Millisecond)
		t.Crashed(Fingerprint{n, 1}, Crash{Endpoint: 1, At: now}, now)
	}
	return t, now
}
