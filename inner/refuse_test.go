package inner

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestPeerWithoutTrustedCertificateIsRefused: if key files are set, no call of
// a peer without a certificate of the authority reaches a handler.
func TestPeerWithoutTrustedCertificateIsRefused(t *testing.T) {
	ours, others := newAuthority(t, "ours"), newAuthority(t, "others")
	issueFiles := func(a *authority) KeyFiles {
		s := newPeerFiles(t)
		cert, key := a.issue(t)
		s.write(s.files.Cert, cert)
		s.write(s.files.Key, key)
		s.write(s.files.CA, a.pem)
		return s.files
	}
	client := func(k KeyFiles) *Client {
		c, err := NewClient(k, nil)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	withoutCertificate := &Client{&http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}, "https://"}
	cases := []struct {
		name   string
		client *Client
		served bool
	}{
		{"of the authority", client(issueFiles(ours)), true},
		{"of another authority", client(issueFiles(others)), false},
		{"without a certificate", withoutCertificate, false},
		{"in clear text", client(KeyFiles{}), false},
	}
	var calls atomic.Int32
	srv, err := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }), issueFiles(ours))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = Serve(srv, l) }()
	defer func() { _ = srv.Close() }()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := calls.Load()
			err := call(c.client, l.Addr().String())
			is.Equal(err == nil, c.served)
			is.Equal(calls.Load() > before, c.served)
		})
	}
}
