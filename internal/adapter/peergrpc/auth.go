package peergrpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
)

// Names of the metadata. The suffix -bin marks binary values.
const (
	metaTime  = "auburnpier-time"
	metaNonce = "auburnpier-nonce-bin"
	metaMAC   = "auburnpier-mac-bin"
)

const nonceBytes = 16

// Labels keep the codes of requests and answers apart.
const (
	labelRequest = "request"
	labelAnswer  = "answer"
)

// signer computes authentication codes under a key derived from the shared secret.
type signer struct{ key []byte }

func newSigner(secret []byte) *signer {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("auburnpier peergrpc v1"))
	return &signer{key: m.Sum(nil)}
}

// code returns the HMAC of the parts. Each part is preceded by its length so
// that no two lists of parts share an encoding.
func (s *signer) code(parts ...[]byte) []byte {
	m := hmac.New(sha256.New, s.key)
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		m.Write(length[:])
		m.Write(part)
	}
	return m.Sum(nil)
}

func (s *signer) request(method, sentAt string, nonce, body []byte) []byte {
	return s.code([]byte(labelRequest), []byte(method), []byte(sentAt), nonce, body)
}

func (s *signer) answer(method string, nonce, body []byte) []byte {
	return s.code([]byte(labelAnswer), []byte(method), nonce, body)
}

// canonical returns the bytes of a message that both ends agree on.
func canonical(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Newf("peer message has type %T, expected a protobuf message", message)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(nonce)
	return nonce
}

// verifier checks the codes of requests and refuses replays.
type verifier struct {
	signer *signer
	seen   *nonceSet
}

func newVerifier(s *signer) *verifier {
	return &verifier{signer: s, seen: &nonceSet{recent: make(map[string]struct{}), older: make(map[string]struct{})}}
}

// check returns the nonce of an authentic request that was not seen before.
func (v *verifier) check(md metadata.MD, method string, body []byte, now time.Time) ([]byte, error) {
	sentAt, nonce, mac := one(md, metaTime), []byte(one(md, metaNonce)), []byte(one(md, metaMAC))
	if !hmac.Equal(mac, v.signer.request(method, sentAt, nonce, body)) {
		return nil, errors.New("peer call has no valid authentication code; give all instances the same peer secret")
	}
	if len(nonce) != nonceBytes {
		return nil, errors.Newf("peer call has a nonce of %d bytes", len(nonce))
	}
	millis, err := strconv.ParseInt(sentAt, 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "peer call has an invalid time")
	}
	if skew := now.Sub(time.UnixMilli(millis)).Abs(); skew > MaxClockSkew {
		return nil, errors.Newf("peer call was signed at a time that differs by %s; synchronize the clocks to within %s", skew, MaxClockSkew)
	}
	if !v.seen.add(string(nonce), now) {
		return nil, errors.New("peer call was received before")
	}
	return nonce, nil
}

// timestamp returns the time as it stands in the metadata.
func timestamp(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

func one(md metadata.MD, key string) string {
	if values := md.Get(key); len(values) == 1 {
		return values[0]
	}
	return ""
}

// nonceSet remembers each nonce for at least the time during which its request
// could be replayed, in two generations.
type nonceSet struct {
	mu      sync.Mutex
	recent  map[string]struct{}
	older   map[string]struct{}
	rotated time.Time
}

// nonceGeneration covers requests signed ahead of and behind the local clock.
const nonceGeneration = 2*MaxClockSkew + time.Second

func (n *nonceSet) add(nonce string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.rotated) > nonceGeneration {
		n.older, n.recent = n.recent, make(map[string]struct{})
		n.rotated = now
	}
	if _, ok := n.recent[nonce]; ok {
		return false
	}
	if _, ok := n.older[nonce]; ok {
		return false
	}
	n.recent[nonce] = struct{}{}
	return true
}
