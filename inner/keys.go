package inner

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"
)

// KeyFiles names the PEM files for mutual TLS. If all are empty, connections
// use clear text.
type KeyFiles struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether TLS is enabled.
func (k KeyFiles) Enabled() bool { return k.Cert != "" || k.Key != "" || k.CA != "" }

// Check returns an error unless either all files or none are named.
func (k KeyFiles) Check() error {
	if k.Enabled() && (k.Cert == "" || k.Key == "" || k.CA == "") {
		return errors.New("cert, key and ca must be set together")
	}
	return nil
}

// CheckLoadable returns an error if TLS is enabled and the files cannot be loaded in
// their current state.
func (k KeyFiles) CheckLoadable() error {
	if !k.Enabled() {
		return nil
	}
	_, err := k.load()
	return err
}

// config returns a TLS configuration that uses the current files at each
// handshake, so that replacing the files requires no restart.
func (k KeyFiles) config() (*tls.Config, error) {
	if err := k.Check(); err != nil {
		return nil, err
	}
	reloader := &keyReloader{files: k, versions: k.versions()}
	var err error
	if reloader.keys, err = k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		ClientAuth: tls.RequireAnyClientCert,
		// Names in certificates are not checked: processes are addressed by
		// IP address, and any holder of a certificate of the authority is a
		// peer. VerifyConnection checks the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   reloader.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return reloader.current().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return reloader.current().cert, nil
		},
	}, nil
}

// keyMaterial is the parsed content of the key files.
type keyMaterial struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

func (k KeyFiles) load() (keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return keyMaterial{}, err
	}
	pem, err := os.ReadFile(k.CA)
	if err != nil {
		return keyMaterial{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return keyMaterial{}, errors.New("no certificate in " + k.CA)
	}
	return keyMaterial{&cert, pool}, nil
}

// fileVersion distinguishes a replaced file from the previous one.
type fileVersion struct {
	size     int64
	modified time.Time
}

func (k KeyFiles) versions() (out [3]fileVersion) {
	for i, name := range []string{k.Cert, k.Key, k.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = fileVersion{info.Size(), info.ModTime()}
		}
	}
	return out
}

// keyReloader holds the last valid content of the key files. It keeps this
// content while the files are being replaced or if they are damaged.
type keyReloader struct {
	files KeyFiles

	mu       sync.Mutex
	keys     keyMaterial
	versions [3]fileVersion // of the files that keys was loaded from
}

// current returns the content of the key files, reloaded if they have changed.
func (r *keyReloader) current() keyMaterial {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := r.files.versions()
	if versions == r.versions {
		return r.keys
	}
	if reloaded, err := r.files.load(); err == nil && r.files.versions() == versions {
		r.keys, r.versions = reloaded, versions
	}
	return r.keys
}

// verify checks the peer's certificate chain against the installation's
// authorities.
func (r *keyReloader) verify(cs tls.ConnectionState) error {
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
