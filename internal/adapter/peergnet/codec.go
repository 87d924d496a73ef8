package peergnet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/core/membership"
)

// Layout of a datagram.
const (
	format      = 1
	timeBytes   = 8
	macBytes    = 16
	headerBytes = 1 + timeBytes + macBytes
	// MaxBytes bounds a datagram. It fits the smallest path between VMs without fragmentation.
	MaxBytes = 1200
	// MaxClockSkew is the largest difference between the clocks of two
	// instances at which datagrams are accepted.
	MaxClockSkew = 30 * time.Second
	// MinSecretBytes is the shortest shared secret that is accepted.
	MinSecretBytes = 16
	// maxUpdates bounds the updates of a message.
	maxUpdates = 64
)

// Errors of decoding. Each has a counter.
var (
	errMalformed       = errors.New("datagram is malformed")
	errUnauthenticated = errors.New("datagram has no valid authentication code; give all instances the same peer secret")
	errClockSkew       = errors.New("datagram was sent at a time that differs too much; synchronize the clocks")
	errReplayed        = errors.New("datagram was received before or is late")
)

// TooLargeError tells that a message does not fit a datagram.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message takes %d bytes, a datagram holds %d; shorten the names of instances, queues and partitions", e.Bytes, MaxBytes)
}

// codec encodes and decodes datagrams under the shared secret.
type codec struct {
	key []byte
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec(secret []byte) (*codec, error) {
	if len(secret) < MinSecretBytes {
		return nil, errors.Newf("the shared secret of the peers has %d bytes, it needs at least %d", len(secret), MinSecretBytes)
	}
	enc, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: maxUpdates,
		MaxMapPairs:      32,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("auburnpier peergnet v1"))
	return &codec{key: m.Sum(nil), enc: enc, dec: dec}, nil
}

// encode returns the datagram, or a *TooLargeError.
func (c *codec) encode(m *membership.Message, now time.Time) ([]byte, error) {
	body, err := c.enc.Marshal(toWire(m))
	if err != nil {
		return nil, err
	}
	if headerBytes+len(body) > MaxBytes {
		return nil, &TooLargeError{Bytes: headerBytes + len(body)}
	}
	datagram := make([]byte, headerBytes, headerBytes+len(body))
	datagram[0] = format
	binary.BigEndian.PutUint64(datagram[1:], uint64(now.UnixMilli()))
	copy(datagram[1+timeBytes:], c.code(datagram[:1+timeBytes], body))
	return append(datagram, body...), nil
}

func (c *codec) code(prefix, body []byte) []byte {
	m := hmac.New(sha256.New, c.key)
	m.Write(prefix)
	m.Write(body)
	return m.Sum(nil)[:macBytes]
}

// decode returns the message of an authentic datagram. It reads the body only
// after the code was verified.
func (c *codec) decode(datagram []byte, now time.Time) (*membership.Message, error) {
	if len(datagram) <= headerBytes || len(datagram) > MaxBytes || datagram[0] != format {
		return nil, errMalformed
	}
	prefix, body := datagram[:1+timeBytes], datagram[headerBytes:]
	if !hmac.Equal(datagram[1+timeBytes:headerBytes], c.code(prefix, body)) {
		return nil, errUnauthenticated
	}
	sent := time.UnixMilli(int64(binary.BigEndian.Uint64(prefix[1:])))
	if now.Sub(sent).Abs() > MaxClockSkew {
		return nil, errClockSkew
	}
	return c.decodeBody(body)
}

func (c *codec) decodeBody(body []byte) (*membership.Message, error) {
	var w wireMessage
	if err := c.dec.Unmarshal(body, &w); err != nil {
		return nil, errors.Mark(err, errMalformed)
	}
	if err := w.validate(); err != nil {
		return nil, errors.Mark(err, errMalformed)
	}
	return w.message(), nil
}
