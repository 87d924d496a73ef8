// Package peergrpc carries the calls between instances over gRPC. Client
// implements port.Peers and Server serves any port.Peer.
//
// Peers authenticate each other by a shared secret, by mutual TLS, or by both.
// With a secret, each request and each answer carries an HMAC-SHA-256 over its
// method, a nonce and its body; a request also carries the sender's time and is
// refused if that time is more than MaxClockSkew away or if its nonce was seen.
//
// The generated code is committed. To generate it again after a change of
// peerpb/peer.proto, with protoc-gen-go and protoc-gen-go-grpc on the PATH:
//
//	cd internal/adapter/peergrpc/peerpb && protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
package peergrpc
