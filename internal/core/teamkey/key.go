// Package teamkey holds the keys that callers present: their text form, the
// hash that is stored, and a type that never shows the secret.
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
	prefix      = "ap_"
	idBytes     = 5  // 40 bits; a collision is refused as a conflict at the grant
	secretBytes = 20 // 160 bits
	maxPart     = 64 // longest ID or secret in bytes
	hidden      = "***"
)

// encoding has no '_', which separates the parts.
var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// ErrMalformed tells that a text is not a key. It does not repeat the text.
var ErrMalformed = errors.New("the key is malformed; present it as ap_<id>_<secret>")

// Key is a presented key. String, Format and the JSON form show the ID only.
type Key struct {
	id string
	// secret is a pointer because fmt does not follow pointers below the top
	// level: a struct that holds a Key in an unexported field prints an address.
	secret *string
}

// Generate returns a new key with randomness from r, which is crypto/rand in
// production.
func Generate(r io.Reader) (Key, error) {
	b := make([]byte, idBytes+secretBytes)
	if _, err := io.ReadFull(r, b); err != nil {
		return Key{}, errors.Wrap(err, "generate a key")
	}
	secret := encoding.EncodeToString(b[idBytes:])
	return Key{id: encoding.EncodeToString(b[:idBytes]), secret: &secret}, nil
}

// Parse reads a key from its text form. It returns ErrMalformed.
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
	if s == "" || len(s) > maxPart {
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

// ID returns the public part, which names the row of the key.
func (k Key) ID() string { return k.id }

// IsZero reports whether k holds no key.
func (k Key) IsZero() bool { return k.secret == nil }

// Reveal returns the whole key. It is for the one answer that hands the key to
// the operator who granted it, and for clients that present it.
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

// SecretSHA256 returns the SHA-256 of the secret in hex, as it is stored.
func (k Key) SecretSHA256() string {
	sum := k.Sum()
	return hex.EncodeToString(sum[:])
}

// Matches reports in constant time whether sum is the SHA-256 of the secret.
func (k Key) Matches(sum [sha256.Size]byte) bool {
	if k.secret == nil {
		return false
	}
	own := k.Sum()
	return subtle.ConstantTimeCompare(own[:], sum[:]) == 1
}

// String returns the key without its secret.
func (k Key) String() string {
	if k.secret == nil {
		return ""
	}
	return prefix + k.id + "_" + hidden
}

// GoString returns the key without its secret.
func (k Key) GoString() string { return k.String() }

// Format writes the key without its secret for every verb.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, k.String()) }

// MarshalText returns the key without its secret. It serves JSON too.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// MarshalJSON returns the key without its secret.
func (k Key) MarshalJSON() ([]byte, error) { return []byte(`"` + k.String() + `"`), nil }
