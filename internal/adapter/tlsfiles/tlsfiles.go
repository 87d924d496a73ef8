// Package tlsfiles loads TLS certificates from PEM files and reads them again
// when they change, so that a certificate is replaced without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is how often the files are looked at, at most.
const checkInterval = 5 * time.Second

// Pair is a certificate with its key, kept up to date with its files.
type Pair struct {
	certFile, keyFile string
	now               func() time.Time

	mu       sync.Mutex
	cert     *tls.Certificate
	modified time.Time
	checked  time.Time
}

// Load reads the pair once and fails where the files do not fit together.
func Load(certFile, keyFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, now: time.Now}
	if err := p.read(); err != nil {
		return nil, err
	}
	return p, nil
}

// Certificate returns the present certificate. Files that cannot be read leave
// the former certificate in force.
func (p *Pair) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); now.Sub(p.checked) >= checkInterval {
		p.checked = now
		if p.changed() {
			_ = p.read()
		}
	}
	return p.cert
}

func (p *Pair) changed() bool {
	return latest(p.certFile, p.keyFile).After(p.modified)
}

func (p *Pair) read() error {
	modified := latest(p.certFile, p.keyFile)
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s; check that it and its key file exist and belong together", p.certFile)
	}
	p.cert = &cert
	p.modified = modified
	return nil
}

func latest(files ...string) time.Time {
	var t time.Time
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t
}

// Server returns the configuration of a listener. With a CA file the other
// side must present a certificate of that CA.
func (p *Pair) Server(caFile string) (*tls.Config, error) {
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.Certificate(), nil
		},
	}
	if caFile == "" {
		return c, nil
	}
	pool, err := Pool(caFile)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// Mutual returns one configuration for both ends of a connection between
// instances: each presents the pair and verifies the other by the CA.
func (p *Pair) Mutual(caFile string) (*tls.Config, error) {
	c, err := p.Server(caFile)
	if err != nil {
		return nil, err
	}
	c.RootCAs = c.ClientCAs
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return p.Certificate(), nil
	}
	return c, nil
}

// Pool reads the certificates of a CA file.
func Pool(caFile string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrapf(err, "read CA file %s", caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("CA file %s holds no PEM certificate; write one into it", caFile)
	}
	return pool, nil
}
