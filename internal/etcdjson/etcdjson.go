// Package etcdjson defines the messages of the etcd v3 protocol that this
// repository uses, in their JSON mapping: 64-bit integers are encoded as
// strings, bytes as base64, and fields with their zero value are omitted.
package etcdjson

import (
	"bytes"
	"strconv"
)

// Paths of the etcd API, all called with POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// gRPC status codes in error responses of etcd.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Error messages that callers have to distinguish.
const (
	MessageNoLeader      = "etcdserver: no leader"
	MessageTooLarge      = "etcdserver: request is too large"
	MessageTooMany       = "etcdserver: too many requests"
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageLeaseExists   = "etcdserver: lease already exists"
)

// Int64 is an integer that is encoded as a string and decoded from a string or a
// number.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	b := append(make([]byte, 0, 22), '"')
	b = strconv.AppendInt(b, int64(i), 10)
	return append(b, '"'), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	v, err := strconv.ParseInt(string(bytes.Trim(data, `"`)), 10, 64)
	if err != nil {
		return err
	}
	*i = Int64(v)
	return nil
}

// Header is part of every response. Revision is the revision of the store at the
// time of the response. ClusterID identifies the cluster; a restored cluster has
// a different one.
type Header struct {
	ClusterID string `json:"cluster_id,omitempty"`
	Revision  Int64  `json:"revision,omitempty"`
}

// KeyValue is the state of a key at one modification.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or only Key if RangeEnd is
// empty.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the response to a RangeRequest. More is true if Limit
// truncated the result.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key,omitempty"`
}

// DeleteRangeResponse is the response to a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// Target and result of the only comparison in use: the modification revision of
// the key equals a given one.
const (
	CompareMod   = "MOD"
	CompareEqual = "EQUAL"
)

// Compare is one condition of a transaction.
type Compare struct {
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	Key         []byte `json:"key,omitempty"`
	ModRevision Int64  `json:"mod_revision"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the response to the RequestOp at the same index.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest executes Success if all comparisons hold, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest requests a lease with a TTL in seconds.
type GrantRequest struct {
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// GrantResponse is the response to a GrantRequest.
type GrantResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// KeepAliveResponse is the response to a KeepAliveRequest. A TTL of 0 means that
// the lease does not exist.
type KeepAliveResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// KeepAliveFrame is one line of the response stream of a KeepAliveRequest.
type KeepAliveFrame struct {
	Result *KeepAliveResponse `json:"result,omitempty"`
	Error  *Error             `json:"error,omitempty"`
}

// RevokeRequest revokes a lease.
type RevokeRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// RevokeResponse is the response to a RevokeRequest.
type RevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the key to watch, starting at StartRevision.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// EventDelete is the Type of a deletion. The field is omitted for a put.
const EventDelete = "DELETE"

// Event is one modification of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is the result in one line of a watch stream.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchFrame is one line of a watch stream.
type WatchFrame struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}

// Error is the body of an error response.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the end of the range of all keys with the prefix. If there is
// no such end, it returns a single zero byte, with which etcd denotes "no end".
func PrefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
