// Package etcdjson holds the messages of the etcd v3 protocol in their JSON
// mapping, as far as this repository uses them: 64-bit integers travel as
// strings, bytes as base64, and fields at their zero value are left out.
package etcdjson

import (
	"bytes"
	"strconv"
)

// The paths of the service, all called with POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// The status codes of gRPC that the service puts into its errors.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// The error texts that callers have to tell apart.
const (
	MessageNoLeader      = "etcdserver: no leader"
	MessageTooLarge      = "etcdserver: request is too large"
	MessageTooMany       = "etcdserver: too many requests"
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageLeaseExists   = "etcdserver: lease already exists"
)

// Int64 is written as a string and read from a string or a number.
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

// Header stands in every response; Revision is the store's own at that moment,
// ClusterID names the cluster, and a restored one has another.
type Header struct {
	ClusterID string `json:"cluster_id,omitempty"`
	Revision  Int64  `json:"revision,omitempty"`
}

// KeyValue is one key at one modification.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads [Key, RangeEnd), or the one key when RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse answers a RangeRequest; More says that Limit cut it short.
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

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key,omitempty"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// The only comparison in use: the key's modification revision is equal.
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

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp answers the RequestOp at the same index.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest runs Success when every comparison holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest asks for a lease of TTL seconds.
type GrantRequest struct {
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// GrantResponse answers a GrantRequest.
type GrantResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// KeepAliveResponse answers a KeepAliveRequest; TTL 0 means no such lease.
type KeepAliveResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// KeepAliveFrame is one line of the stream that answers a KeepAliveRequest.
type KeepAliveFrame struct {
	Result *KeepAliveResponse `json:"result,omitempty"`
	Error  *Error             `json:"error,omitempty"`
}

// RevokeRequest ends a lease.
type RevokeRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// RevokeResponse answers a RevokeRequest.
type RevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names what is watched, from StartRevision on.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// EventDelete is the Type of a deletion; a put leaves the field out.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is the content of one line of a watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchFrame is one line of a watch.
type WatchFrame struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}

// Error is the body of a response that is not a success.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the end of the range of all keys with the prefix; the
// single byte zero, the service's sign for "no end", when there is none.
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
