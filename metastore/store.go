package metastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// pageSize is the number of keys that List requests per call.
const pageSize = 256

var (
	errNoRevision     = errors.New("response has no revision")
	errNoCurrentValue = errors.New("response to a failed comparison has no current value")
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	res, err := c.rangeCall(ctx, etcdjson.RangeRequest{Key: []byte(key)})
	if err != nil {
		return Entry{}, err
	}
	if len(res.Kvs) == 0 {
		return Entry{}, ErrNotFound
	}
	return newEntry(key, res.Kvs[0]), nil
}

// List implements Store. The result is not a snapshot: a key that changes
// during the call may be returned in its state before or after the change.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	req := etcdjson.RangeRequest{
		Key:      []byte(prefix),
		RangeEnd: etcdjson.PrefixEnd([]byte(prefix)),
		Limit:    pageSize,
	}
	if prefix == "" {
		req.Key = []byte{0}
	}
	var entries []Entry
	for {
		res, err := c.rangeCall(ctx, req)
		if err != nil {
			return nil, err
		}
		for _, kv := range res.Kvs {
			entries = append(entries, newEntry(string(kv.Key), kv))
		}
		if !res.More || len(res.Kvs) == 0 {
			return entries, nil
		}
		last := res.Kvs[len(res.Kvs)-1].Key
		req.Key = append(append([]byte(nil), last...), 0)
	}
}

// rangeCall makes one range call.
func (c *Client) rangeCall(ctx context.Context, req etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	var res etcdjson.RangeResponse
	err := c.call(ctx, KindRange, etcdjson.PathRange, req, func(data []byte) (storeState, error) {
		var err error
		res, err = decodeRange(data, req)
		return stateFromHeader(res.Header), err
	})
	return res, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (Entry, error) {
	if len(value) > MaxValue {
		cause := fmt.Errorf("%d bytes", len(value))
		return Entry{}, &CallError{Kind: KindTxn, Outcome: ErrTooLarge, Cause: cause}
	}
	put := &etcdjson.PutRequest{Key: []byte(key), Value: value, Lease: etcdjson.Int64(lease)}
	res, err := c.conditionalTxn(ctx, key, expect, etcdjson.RequestOp{Put: put})
	if err != nil {
		return Entry{}, err
	}
	if !res.Succeeded {
		return conflictEntry(key, res), ErrConflict
	}
	return Entry{Key: key, Value: value, Revision: int64(res.Header.Revision)}, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	del := &etcdjson.DeleteRangeRequest{Key: []byte(key)}
	res, err := c.conditionalTxn(ctx, key, expect, etcdjson.RequestOp{DeleteRange: del})
	if err != nil {
		return err
	}
	if !res.Succeeded {
		return ErrConflict
	}
	return nil
}

// conditionalTxn executes op if the key's revision equals expect; otherwise it
// reads the key.
func (c *Client) conditionalTxn(ctx context.Context, key string, expect int64, op etcdjson.RequestOp) (etcdjson.TxnResponse, error) {
	req := etcdjson.TxnRequest{
		Compare: []etcdjson.Compare{{
			Result:      etcdjson.CompareEqual,
			Target:      etcdjson.CompareMod,
			Key:         []byte(key),
			ModRevision: etcdjson.Int64(expect),
		}},
		Success: []etcdjson.RequestOp{op},
		Failure: []etcdjson.RequestOp{{Range: &etcdjson.RangeRequest{Key: []byte(key)}}},
	}
	var res etcdjson.TxnResponse
	err := c.call(ctx, KindTxn, etcdjson.PathTxn, req, func(data []byte) (storeState, error) {
		var err error
		res, err = decodeTxn(data, key)
		state := stateFromHeader(res.Header)
		state.wrote = res.Succeeded && (op.Put != nil || expect > 0)
		return state, err
	})
	return res, err
}

// conflictEntry returns the current entry from the response to a failed
// comparison.
func conflictEntry(key string, res etcdjson.TxnResponse) Entry {
	kvs := res.Responses[0].Range.Kvs
	if len(kvs) == 0 {
		return Entry{Key: key}
	}
	return newEntry(key, kvs[0])
}

// newEntry returns the entry of kv under key. The value of an existing key is
// never nil, since nil stands for a deleted key.
func newEntry(key string, kv etcdjson.KeyValue) Entry {
	value := kv.Value
	if value == nil {
		value = []byte{}
	}
	return Entry{Key: key, Value: value, Revision: int64(kv.ModRevision)}
}

// decodeRange decodes the response to req.
func decodeRange(data []byte, req etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	var res etcdjson.RangeResponse
	if err := json.Unmarshal(data, &res); err != nil {
		return res, err
	}
	if err := checkRevision(res.Header); err != nil {
		return res, err
	}
	return res, checkKeys(res.Kvs, res.Header, req)
}

// decodeTxn decodes the response to a transaction of conditionalTxn.
func decodeTxn(data []byte, key string) (etcdjson.TxnResponse, error) {
	var res etcdjson.TxnResponse
	if err := json.Unmarshal(data, &res); err != nil {
		return res, err
	}
	if err := checkRevision(res.Header); err != nil {
		return res, err
	}
	if res.Succeeded {
		return res, nil
	}
	if len(res.Responses) != 1 || res.Responses[0].Range == nil {
		return res, errNoCurrentValue
	}
	return res, checkKeys(res.Responses[0].Range.Kvs, res.Header, etcdjson.RangeRequest{Key: []byte(key)})
}

// checkKeys rejects keys that were not requested or that have a higher revision
// than the response itself.
func checkKeys(kvs []etcdjson.KeyValue, h etcdjson.Header, req etcdjson.RangeRequest) error {
	if len(req.RangeEnd) == 0 && len(kvs) > 1 {
		return fmt.Errorf("response has %d keys, requested one", len(kvs))
	}
	for _, kv := range kvs {
		if len(req.RangeEnd) == 0 && !bytes.Equal(kv.Key, req.Key) {
			return fmt.Errorf("response has key %q, requested %q", kv.Key, req.Key)
		}
		if kv.ModRevision <= 0 || kv.ModRevision > h.Revision {
			return fmt.Errorf("key has revision %d in a response of revision %d", kv.ModRevision, h.Revision)
		}
	}
	return nil
}

// stateFromHeader returns the store state that a response header reports.
func stateFromHeader(h etcdjson.Header) storeState {
	return storeState{revision: int64(h.Revision), cluster: h.ClusterID}
}

// checkRevision rejects a response that does not name its revision.
func checkRevision(h etcdjson.Header) error {
	if h.Revision <= 0 {
		return errNoRevision
	}
	return nil
}
