// Package peergnet sends and receives the datagrams between instances over UDP, with gnet.
//
// A datagram has at most MaxDatagramBytes. It consists of a format version (1 byte), the send time in
// Unix milliseconds (8 bytes, big endian), an HMAC-SHA-256 of the other parts truncated to 16 bytes,
// and the message as a CBOR map with integer keys. The key of the HMAC is derived from the shared
// secret.
//
// A datagram is dropped if its send time differs from the local clock by more than MaxClockSkew, or if
// its sequence number was received before or is far behind the newest one of the sender.
package peergnet
