// Package tlsfiles loads TLS certificates from PEM files and reloads them when the files change, so
// that a certificate can be replaced without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// Pair is a certificate with its private key, reloaded when its files change.
type Pair struct {
	certFile, keyFile string
	now               func() time.Time

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

// Load loads the pair. It fails if a file can't be read or the key does not belong to the certificate.
func Load(certFile, keyFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, now: time.Now}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// Certificate returns the current certificate, reloaded if its files have changed. If they can't be
// loaded, the previous certificate stays in use.
func (p *Pair) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); now.Sub(p.checkedAt) >= checkInterval {
		p.checkedAt = now
		if p.filesChanged() {
			_ = p.load()
		}
	}
	return p.cert
}

func (p *Pair) filesChanged() bool {
	return latestModTime(p.certFile, p.keyFile).After(p.modTime)
}

func (p *Pair) load() error {
	modTime := latestModTime(p.certFile, p.keyFile)
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s; check that it and its key file exist and belong together", p.certFile)
	}
	p.cert = &cert
	p.modTime = modTime
	return nil
}

func latestModTime(files ...string) time.Time {
	var t time.Time
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t
}

// ServerConfig returns the TLS configuration of a listener. If caFile is not empty, clients must
// present a certificate that this CA has issued.
func (p *Pair) ServerConfig(caFile string) (*tls.Config, error) {
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.Certificate(), nil
		},
	}
	if caFile == "" {
		return c, nil
	}
	pool, err := LoadCertPool(caFile)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// MutualConfig returns the TLS configuration for both ends of a connection between instances: each
// end presents this certificate and verifies the other's against the CA.
func (p *Pair) MutualConfig(caFile string) (*tls.Config, error) {
	c, err := p.ServerConfig(caFile)
	if err != nil {
		return nil, err
	}
	c.RootCAs = c.ClientCAs
	c.GetClientCertificate = p.clientCertificate
	return c, nil
}

func (p *Pair) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.Certificate(), nil
}

// ForwardConfig returns the TLS configuration of connections to the listeners of other instances that use a certificate
// like this one. Certificates of the system's CAs and of the CA files are accepted. They have to be valid for the first
// name of this certificate, since the instances of a deployment serve the same names, or for the host that is dialed if
// this certificate has no name.
func (p *Pair) ForwardConfig(caFiles ...string) (*tls.Config, error) {
	roots, err := x509.SystemCertPool()
	if err != nil {
		// Without the system's CAs, only those of the files are accepted.
		roots = x509.NewCertPool()
	}
	for _, file := range caFiles {
		if file == "" {
			continue
		}
		if err := appendCerts(roots, file); err != nil {
			return nil, err
		}
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		RootCAs:              roots,
		ServerName:           firstName(p.Certificate()),
		GetClientCertificate: p.clientCertificate,
	}, nil
}

// firstName returns the first name without a wildcard that the certificate is valid for, or "".
func firstName(cert *tls.Certificate) string {
	for _, name := range cert.Leaf.DNSNames {
		if !strings.HasPrefix(name, "*") {
			return name
		}
	}
	return ""
}

// LoadCertPool loads the certificates of a CA file.
func LoadCertPool(caFile string) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	return pool, appendCerts(pool, caFile)
}

func appendCerts(pool *x509.CertPool, caFile string) error {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return errors.Wrapf(err, "read CA file %s", caFile)
	}
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("CA file %s contains no PEM certificate; add one", caFile)
	}
	return nil
}
