package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func writePair(t *testing.T, dir string, serial int64, modTime time.Time) (string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, certFile, "CERTIFICATE", der, modTime)
	writePEM(t, keyFile, "EC PRIVATE KEY", keyDER, modTime)
	return certFile, keyFile
}

func writePEM(t *testing.T, file, kind string, der []byte, modTime time.Time) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, modTime, modTime); err != nil {
		t.Fatal(err)
	}
}

func serialNumber(t *testing.T, c *tls.Certificate) int64 {
	t.Helper()
	leaf, err := x509.ParseCertificate(c.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return leaf.SerialNumber.Int64()
}

// Guards against a replaced certificate that takes effect only after a restart, and against a broken
// file that leaves the listener without a certificate.
func TestCertificateIsReloadedAndSurvivesBrokenFile(t *testing.T) {
	dir := t.TempDir()
	base := time.Now().Add(-time.Hour)
	certFile, keyFile := writePair(t, dir, 1, base)
	p, err := Load(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	p.now = func() time.Time { return now }
	if got := serialNumber(t, p.Certificate()); got != 1 {
		t.Fatalf("serial is %d, want 1", got)
	}
	writePair(t, dir, 2, base.Add(time.Minute))
	now = now.Add(checkInterval)
	if got := serialNumber(t, p.Certificate()); got != 2 {
		t.Fatalf("serial after replacement is %d, want 2", got)
	}
	writePEM(t, certFile, "CERTIFICATE", []byte("broken"), base.Add(2*time.Minute))
	now = now.Add(checkInterval)
	if got := serialNumber(t, p.Certificate()); got != 2 {
		t.Fatalf("serial after a broken file is %d, want 2", got)
	}
}
