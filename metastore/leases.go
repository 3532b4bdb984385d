package metastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

var errNoLease = errors.New("response contains no lease")

// Grant implements Store. The service counts in whole seconds, so ttl is
// rounded up.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := etcdjson.Int64((ttl + time.Second - 1) / time.Second)
	req := etcdjson.GrantRequest{TTL: seconds}
	var res etcdjson.GrantResponse
	err := c.call(ctx, KindGrant, etcdjson.PathGrant, req, func(data []byte) (storeState, error) {
		var err error
		res, err = decodeGrant(data, seconds)
		return stateFromHeader(res.Header), err
	})
	if err != nil {
		return 0, err
	}
	return LeaseID(res.ID), nil
}

// KeepAlive implements Store. The remaining time is in whole seconds.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	req := etcdjson.KeepAliveRequest{ID: etcdjson.Int64(id)}
	var res etcdjson.KeepAliveResponse
	err := c.call(ctx, KindKeepAlive, etcdjson.PathKeepAlive, req, func(data []byte) (storeState, error) {
		var err error
		res, err = decodeKeepAlive(data)
		return stateFromHeader(res.Header), err
	})
	if err != nil {
		return 0, err
	}
	if res.TTL <= 0 {
		return 0, ErrLeaseExpired
	}
	return time.Duration(res.TTL) * time.Second, nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	req := etcdjson.RevokeRequest{ID: etcdjson.Int64(id)}
	return c.call(ctx, KindRevoke, etcdjson.PathRevoke, req, func(data []byte) (storeState, error) {
		var res etcdjson.RevokeResponse
		if err := json.Unmarshal(data, &res); err != nil {
			return storeState{}, err
		}
		return stateFromHeader(res.Header), checkRevision(res.Header)
	})
}

// decodeGrant decodes the response to a grant; the lease must last at least the
// requested seconds.
func decodeGrant(data []byte, seconds etcdjson.Int64) (etcdjson.GrantResponse, error) {
	var res etcdjson.GrantResponse
	if err := json.Unmarshal(data, &res); err != nil {
		return res, err
	}
	if res.ID == 0 {
		return res, errNoLease
	}
	if res.TTL < seconds {
		return res, fmt.Errorf("lease granted for %d s, requested %d s", res.TTL, seconds)
	}
	return res, checkRevision(res.Header)
}

// maxTTL is the longest remaining time, in seconds, that is accepted from the
// service.
const maxTTL = 10 * 365 * 24 * 3600

// decodeKeepAlive decodes the first line of the response to a keep-alive.
func decodeKeepAlive(data []byte) (etcdjson.KeepAliveResponse, error) {
	var frame etcdjson.KeepAliveFrame
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&frame); err != nil {
		return etcdjson.KeepAliveResponse{}, err
	}
	if frame.Error != nil {
		return etcdjson.KeepAliveResponse{}, errors.New(frame.Error.Message)
	}
	if frame.Result == nil {
		return etcdjson.KeepAliveResponse{}, errNoLease
	}
	if frame.Result.TTL > maxTTL {
		return etcdjson.KeepAliveResponse{}, fmt.Errorf("implausible remaining lease time of %d s", frame.Result.TTL)
	}
	return *frame.Result, checkRevision(frame.Result.Header)
}
