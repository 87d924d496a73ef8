// Package peergnet carries the datagrams between instances over UDP with gnet.
//
// A datagram of at most MaxBytes consists of a format number (1 byte), the
// sender's time in Unix milliseconds (8 bytes, big endian), a truncated
// HMAC-SHA-256 (16 bytes) over the other parts under a key derived from the
// shared secret, and a CBOR map with integer keys. Datagrams whose time is more
// than MaxClockSkew away are dropped, and so are those whose sender count was
// seen before or is far behind the newest one of the sender.
package peergnet
