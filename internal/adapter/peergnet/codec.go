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
	formatVersion  = 1
	timestampBytes = 8
	macBytes       = 16
	headerBytes    = 1 + timestampBytes + macBytes
	// MaxDatagramBytes is the largest size of a datagram. It avoids fragmentation on the path between
	// VMs with the smallest MTU.
	MaxDatagramBytes = 1200
	// MaxClockSkew is the largest difference between the send time of a datagram and the receiver's
	// clock at which the datagram is accepted.
	MaxClockSkew = 30 * time.Second
	// MinSecretBytes is the minimum length of the shared secret.
	MinSecretBytes = 16
	// maxArrayElements limits each array of a message, among them its updates.
	maxArrayElements = 64
)

// Reasons for which a received datagram is dropped. Each has a counter.
var (
	errMalformed       = errors.New("datagram is malformed")
	errUnauthenticated = errors.New("datagram has an invalid authentication code; set the same peer secret on all instances")
	errClockSkew       = errors.New("datagram's send time differs too much from the local clock; synchronize the clocks")
	errReplayed        = errors.New("datagram is a duplicate or too old")
)

// TooLargeError reports that an encoded message exceeds MaxDatagramBytes.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message needs %d bytes, a datagram has at most %d; shorten the names of instances, queues and partitions", e.Bytes, MaxDatagramBytes)
}

// codec encodes and decodes datagrams, and authenticates them with a key derived from the shared
// secret.
type codec struct {
	key []byte
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec(secret []byte) (*codec, error) {
	if len(secret) < MinSecretBytes {
		return nil, errors.Newf("the shared secret of the peers has %d bytes, at least %d are required", len(secret), MinSecretBytes)
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
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      32,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("auburnpier peergnet v1"))
	return &codec{key: m.Sum(nil), enc: enc, dec: dec}, nil
}

// encode returns the datagram, or a *TooLargeError if it would exceed MaxDatagramBytes.
func (c *codec) encode(m *membership.Message, now time.Time) ([]byte, error) {
	body, err := c.enc.Marshal(toWire(m))
	if err != nil {
		return nil, err
	}
	if headerBytes+len(body) > MaxDatagramBytes {
		return nil, &TooLargeError{Bytes: headerBytes + len(body)}
	}
	datagram := make([]byte, headerBytes, headerBytes+len(body))
	datagram[0] = formatVersion
	binary.BigEndian.PutUint64(datagram[1:], uint64(now.UnixMilli()))
	copy(datagram[1+timestampBytes:], c.mac(datagram[:1+timestampBytes], body))
	return append(datagram, body...), nil
}

func (c *codec) mac(prefix, body []byte) []byte {
	m := hmac.New(sha256.New, c.key)
	m.Write(prefix)
	m.Write(body)
	return m.Sum(nil)[:macBytes]
}

// decode returns the message of an authentic datagram. It parses the body only after it has verified
// the authentication code.
func (c *codec) decode(datagram []byte, now time.Time) (*membership.Message, error) {
	if len(datagram) <= headerBytes || len(datagram) > MaxDatagramBytes || datagram[0] != formatVersion {
		return nil, errMalformed
	}
	prefix, body := datagram[:1+timestampBytes], datagram[headerBytes:]
	if !hmac.Equal(datagram[1+timestampBytes:headerBytes], c.mac(prefix, body)) {
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
	return w.toMessage(), nil
}
