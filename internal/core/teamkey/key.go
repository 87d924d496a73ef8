// Package teamkey implements the API keys that callers authenticate with: the text form, the hash
// that is stored, and a type that redacts the secret when it is printed, encoded or logged.
package teamkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	prefix       = "ap_"
	idBytes      = 5  // 40 bits; if an ID collides, granting the key fails with a conflict
	secretBytes  = 20 // 160 bits
	maxPartBytes = 64 // maximum length of an ID or secret
	redacted     = "***"
)

// encoding uses an alphabet without '_', because that separates the parts of a key.
var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// ErrMalformed is returned for a text that isn't a key. It doesn't quote the text, which may
// contain a secret.
var ErrMalformed = errors.New("the key is malformed; present it as ap_<id>_<secret>")

// Key is an API key. String, Format and the text and JSON encodings show only its ID.
type Key struct {
	id string
	// secret is a pointer because fmt can't call the methods of a Key in an unexported field of
	// another struct. It doesn't follow nested pointers either, so it prints an address instead.
	secret *string
}

// Generate returns a new key made of random bytes from r, which is crypto/rand in production.
func Generate(r io.Reader) (Key, error) {
	b := make([]byte, idBytes+secretBytes)
	if _, err := io.ReadFull(r, b); err != nil {
		return Key{}, errors.Wrap(err, "generate a key")
	}
	secret := encoding.EncodeToString(b[idBytes:])
	return Key{id: encoding.EncodeToString(b[:idBytes]), secret: &secret}, nil
}

// Parse parses the text form of a key. It returns ErrMalformed if the text isn't a key.
func Parse(text string) (Key, error) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return Key{}, ErrMalformed
	}
	id, secret, ok := strings.Cut(rest, "_")
	if !ok || !validPart(id) || !validPart(secret) {
		return Key{}, ErrMalformed
	}
	return Key{id: id, secret: &secret}, nil
}

func validPart(s string) bool {
	if s == "" || len(s) > maxPartBytes {
		return false
	}
	for i := range len(s) {
		b := s[i]
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') {
			return false
		}
	}
	return true
}

// ID returns the public part, under which the key is stored.
func (k Key) ID() string { return k.id }

// IsZero reports whether k is the zero value, which is no key.
func (k Key) IsZero() bool { return k.secret == nil }

// Reveal returns the text form including the secret. Use it only in the one response that hands
// the key to the operator who granted it, and in clients that authenticate with it.
func (k Key) Reveal() string {
	if k.secret == nil {
		return ""
	}
	return prefix + k.id + "_" + *k.secret
}

// Sum returns the SHA-256 of the secret.
func (k Key) Sum() [sha256.Size]byte {
	if k.secret == nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256([]byte(*k.secret))
}

// SecretSHA256 returns the SHA-256 of the secret in hex, which is the stored form.
func (k Key) SecretSHA256() string {
	sum := k.Sum()
	return hex.EncodeToString(sum[:])
}

// Matches reports whether sum is the SHA-256 of the secret. The comparison takes constant time.
func (k Key) Matches(sum [sha256.Size]byte) bool {
	if k.secret == nil {
		return false
	}
	keySum := k.Sum()
	return subtle.ConstantTimeCompare(keySum[:], sum[:]) == 1
}

// String returns the key with its secret redacted.
func (k Key) String() string {
	if k.secret == nil {
		return ""
	}
	return prefix + k.id + "_" + redacted
}

// GoString returns the key with its secret redacted.
func (k Key) GoString() string { return k.String() }

// Format writes the key with its secret redacted, whatever the verb.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, k.String()) }

// MarshalText returns the key with its secret redacted. JSON uses it for map keys.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// MarshalJSON returns the key with its secret redacted.
func (k Key) MarshalJSON() ([]byte, error) { return []byte(`"` + k.String() + `"`), nil }
