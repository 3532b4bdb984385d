package inner

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"
)

// KeyFiles names the PEM files for mutual TLS; all empty means clear text.
type KeyFiles struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether TLS is on.
func (k KeyFiles) Enabled() bool { return k.Cert != "" || k.Key != "" || k.CA != "" }

// Check returns an error unless all files or none are named.
func (k KeyFiles) Check() error {
	if k.Enabled() && (k.Cert == "" || k.Key == "" || k.CA == "") {
		return errors.New("cert, key and ca must be set together")
	}
	return nil
}

// Usable returns an error when TLS is on and the files cannot be used as they
// stand now.
func (k KeyFiles) Usable() error {
	if !k.Enabled() {
		return nil
	}
	_, err := k.load()
	return err
}

// config returns a configuration that uses the files as they stand at each
// handshake, so that replaced files need no restart.
func (k KeyFiles) config() (*tls.Config, error) {
	if err := k.Check(); err != nil {
		return nil, err
	}
	ring := &keyring{files: k, stamp: k.stamp()}
	var err error
	if ring.keys, err = k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		ClientAuth: tls.RequireAnyClientCert,
		// The names in certificates are not used: processes are reached by IP
		// number, and any holder of a certificate of the authority is a peer.
		InsecureSkipVerify: true,
		VerifyConnection:   ring.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return ring.current().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return ring.current().cert, nil
		},
	}, nil
}

// keys are the contents of the files.
type keys struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

func (k KeyFiles) load() (keys, error) {
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return keys{}, err
	}
	pem, err := os.ReadFile(k.CA)
	if err != nil {
		return keys{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return keys{}, errors.New("no certificate in " + k.CA)
	}
	return keys{&cert, pool}, nil
}

// fileStamp tells a replaced file from the one before.
type fileStamp struct {
	size     int64
	modified time.Time
}

func (k KeyFiles) stamp() (out [3]fileStamp) {
	for i, name := range []string{k.Cert, k.Key, k.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = fileStamp{info.Size(), info.ModTime()}
		}
	}
	return out
}

// keyring holds the last usable contents of the files. While they are being
// replaced, or when they are damaged, it goes on with those.
type keyring struct {
	files KeyFiles

	mu    sync.Mutex
	keys  keys
	stamp [3]fileStamp // of the files that keys came from
}

// current returns the contents, read anew when the files have changed.
func (r *keyring) current() keys {
	r.mu.Lock()
	defer r.mu.Unlock()
	stamp := r.files.stamp()
	if stamp == r.stamp {
		return r.keys
	}
	if fresh, err := r.files.load(); err == nil && r.files.stamp() == stamp {
		r.keys, r.stamp = fresh, stamp
	}
	return r.keys
}

// verify checks the peer's chain against the installation's authorities.
func (r *keyring) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("inner: peer has no certificate")
	}
	opts := x509.VerifyOptions{
		Roots: r.current().pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
