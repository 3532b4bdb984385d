package inner

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority is a certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue returns a new certificate and its private key.
func (a *authority) issue(t *testing.T) (cert, key []byte) {
	t.Helper()
	k := newKey(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})
}

// peerFiles are the key files of one process.
type peerFiles struct {
	t      *testing.T
	files  KeyFiles
	writes int64
}

func newPeerFiles(t *testing.T) *peerFiles {
	dir := t.TempDir()
	return &peerFiles{t: t, files: KeyFiles{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}}
}

// write writes a file with a unique modification time, since the resolution of
// file timestamps may be coarser than the interval between two writes of the
// test.
func (s *peerFiles) write(name string, content []byte) {
	s.t.Helper()
	s.writes++
	at := time.Unix(1_000_000_000+s.writes, 0)
	if err := os.WriteFile(name, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Chtimes(name, at, at); err != nil {
		s.t.Fatal(err)
	}
}

// call makes one call over a new connection.
func call(client *Client, addr string) error {
	client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, client.URL(addr), nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// TestKeyFilesRotate replaces certificates and authority between calls, in the
// order given on the operators' page, including the intermediate states of the
// files.
func TestKeyFilesRotate(t *testing.T) {
	is := is.New(t)
	first, second := newAuthority(t, "first"), newAuthority(t, "second")
	server, caller := newPeerFiles(t), newPeerFiles(t)
	peers := []*peerFiles{server, caller}
	for _, s := range peers {
		cert, key := first.issue(t)
		s.write(s.files.Cert, cert)
		s.write(s.files.Key, key)
		s.write(s.files.CA, first.pem)
	}
	srv, err := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), server.files)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = Serve(srv, l) }()
	defer func() { _ = srv.Close() }()
	client, err := NewClient(caller.files, nil)
	is.NoErr(err)
	check := func() {
		t.Helper()
		if err := call(client, l.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	check()
	both := append(append([]byte(nil), first.pem...), second.pem...)
	for _, s := range peers {
		s.write(s.files.CA, nil) // as if the file were being written
		check()
		s.write(s.files.CA, both)
		check()
	}
	for _, s := range peers {
		cert, key := second.issue(t)
		s.write(s.files.Cert, cert) // does not match the old key
		is.True(s.files.CheckLoadable() != nil)
		check()
		s.write(s.files.Key, key)
		is.NoErr(s.files.CheckLoadable())
		check()
	}
	for _, s := range peers {
		s.write(s.files.CA, second.pem)
		check()
	}

	cert, key := first.issue(t)
	caller.write(caller.files.Cert, cert)
	caller.write(caller.files.Key, key)
	is.True(call(client, l.Addr().String()) != nil) // the old authority is no longer trusted
}
