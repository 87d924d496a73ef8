// Package loopback chooses addresses for processes that read them from settings.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports lie below the range from which the system takes those of outgoing
// connections (32768 and up): such a connection may take a port between its
// choice and its use.
const (
	firstPort = 20_000
	portCount = 12_000
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address that is free for TCP and UDP. Each
// process has an IP address of its own, so that those that run beside each
// other never choose the same one. No later call returns the address until all
// ports have been used.
func FreeAddress() (string, error) {
	host := processHost(os.Getpid())
	for range portCount {
		address := fmt.Sprintf("%s:%d", host, firstPort+nextPort.Add(1)%portCount)
		if free(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no port from %d to %d is free on %s; end the processes that listen there", firstPort, firstPort+portCount-1, host)
}

// processHost maps process numbers to addresses of 127.0.0.0/8 other than 127.0.0.1.
func processHost(pid int) string {
	const perOctet = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/perOctet/perOctet%perOctet, 1+pid/perOctet%perOctet, 1+pid%perOctet)
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}
