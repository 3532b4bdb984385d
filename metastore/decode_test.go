package metastore

import (
	"testing"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// FuzzDecode feeds arbitrary responses to every decoder. Whatever a decoder
// accepts must be usable.
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
			if e := conflictEntry("k", res); e.Revision == 0 && e.Value != nil {
				t.Fatalf("entry has a value but no revision: %v", e)
			}
		}
		if f, err := decodeFrame(data); err == nil {
			for _, e := range f.Events {
				if e.Kv.ModRevision <= 0 {
					t.Fatalf("accepted event has no revision: %v", e)
				}
			}
		}
		if res, err := decodeGrant(data, 1); err == nil && (res.ID == 0 || res.TTL < 1) {
			t.Fatalf("accepted grant has no valid lease: %v", res)
		}
		if res, err := decodeKeepAlive(data); err == nil && res.TTL > maxTTL {
			t.Fatalf("accepted remaining lease time of %d s", res.TTL)
		}
		if hosts, err := decodeHosts(data); err == nil {
			for _, h := range hosts {
				if h.Name == "" || (h.State != HostLive && h.State != HostLeaving) {
					t.Fatalf("accepted invalid host %v", h)
				}
			}
		}
		_ = errorMessage(data)
	})
}

// usable checks the keys of an accepted response.
func usable(t *testing.T, kvs []etcdjson.KeyValue, h etcdjson.Header) {
	for _, kv := range kvs {
		e := newEntry(string(kv.Key), kv)
		if e.Value == nil || e.Revision <= 0 || e.Revision > int64(h.Revision) {
			t.Fatalf("invalid entry %v in a response of revision %d", e, h.Revision)
		}
	}
}
