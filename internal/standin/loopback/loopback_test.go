package loopback

import (
	"net"
	"testing"
)

// Guards against two listeners of a test that are given the same address, and
// against one that an outgoing connection may take before the listener does.
func TestFreeAddress(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was chosen twice", address)
		}
		seen[address] = true
		a, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if a.Port < firstPort || a.Port >= firstPort+portCount {
			t.Fatalf("port %d may be taken by an outgoing connection", a.Port)
		}
	}
}
