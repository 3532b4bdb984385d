package metastore

import (
	"testing"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// FuzzDecode feeds every decoder what a service might send. What a decoder
// accepts has to be usable.
func FuzzDecode(f *testing.F) {
	one := etcdjson.RangeRequest{Key: []byte("k")}
	many := etcdjson.RangeRequest{Key: []byte("k"), RangeEnd: []byte("l")}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, req := range []etcdjson.RangeRequest{one, many} {
			if res, err := decodeRange(data, req); err == nil {
				usable(t, res.Kvs, res.Header)
			}
		}
		if res, err := decodeTxn(data, "k"); err == nil && !res.Succeeded {
			if e := conflicting("k", res); e.Revision == 0 && e.Value != nil {
				t.Fatalf("a value without a revision: %v", e)
			}
		}
		if f, err := decodeFrame(data); err == nil {
			for _, e := range f.Events {
				if e.Kv.ModRevision <= 0 {
					t.Fatalf("an event without a revision: %v", e)
				}
			}
		}
		if res, err := decodeGrant(data, 1); err == nil && (res.ID == 0 || res.TTL < 1) {
			t.Fatalf("no lease: %v", res)
		}
		if res, err := decodeKeepAlive(data); err == nil && res.TTL > maxTTL {
			t.Fatalf("remaining time %d", res.TTL)
		}
		if hosts, err := decodeHosts(data); err == nil {
			for _, h := range hosts {
				if h.Name == "" || (h.State != HostLive && h.State != HostLeaving) {
					t.Fatalf("host %v", h)
				}
			}
		}
		_ = errorMessage(data)
	})
}

// usable checks the keys of an accepted answer.
func usable(t *testing.T, kvs []etcdjson.KeyValue, h etcdjson.Header) {
	for _, kv := range kvs {
		e := entryOf(string(kv.Key), kv)
		if e.Value == nil || e.Revision <= 0 || e.Revision > int64(h.Revision) {
			t.Fatalf("entry %v in an answer of revision %d", e, h.Revision)
		}
	}
}
