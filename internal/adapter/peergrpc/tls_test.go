package peergrpc

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// authority signs certificates of one cell.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := certificate(1)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key}
}

func certificate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "auburnpier test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *authority) config(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, certificate(2), a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool,
		ClientCAs:    pool,
		MinVersion:   tls.VersionTLS13,
	}
}

// Guards against peers of another authority, and peers without a certificate.
func TestMutualTLS(t *testing.T) {
	cell, other := newAuthority(t), newAuthority(t)
	with := func(config *tls.Config) Options {
		return Options{TLS: config, Clock: port.SystemClock{}, Metrics: metrics.New()}
	}
	address := serve(t, with(cell.config(t)), &recorder{})
	withoutCertificate := cell.config(t)
	withoutCertificate.Certificates = nil
	strangerThatTrusts := other.config(t)
	strangerThatTrusts.RootCAs = cell.config(t).RootCAs
	cases := []struct {
		name   string
		config *tls.Config
		ok     bool
	}{
		{"same authority", cell.config(t), true},
		{"no certificate", withoutCertificate, false},
		{"certificate of another authority", strangerThatTrusts, false},
		{"server of another authority", other.config(t), false},
	}
	for _, c := range cases {
		_, err := dial(t, with(c.config)).Peer(address).Status(t.Context())
		if (err == nil) != c.ok {
			t.Errorf("%s: the call returned %v", c.name, err)
		}
	}
}
