package main

import (
	"fmt"
	"net"
	"time"
)

// measureWaiting prints the proxy's memory with idle connections, with the same
// number of waiting requests on them, and the difference of each for one. The
// backend servers must be slow, so that the requests wait.
func measureWaiting(o loadOptions, target string) {
	targets := []string{target}
	empty := fetchUsage(targets, true)
	conns := hold(target, o.waiting)
	time.Sleep(500 * time.Millisecond)
	idle := fetchUsage(targets, true)
	message := requestBytes(target, o.body)
	for _, nc := range conns {
		if _, err := nc.Write(message); err != nil {
			fail(err.Error())
		}
	}
	settle(targets)
	busy := fetchUsage(targets, true)
	n := float64(o.waiting)
	fmt.Printf("%-10s %6d requests, %6d waiting: idle connection %6.0f B, waiting request %6.0f B (heap %6.0f, stack %6.0f)\n",
		o.label, o.waiting, busy.Waiting, memory(idle, empty)/n, memory(busy, empty)/n,
		float64(busy.HeapBytes-empty.HeapBytes)/n, float64(busy.StackBytes-empty.StackBytes)/n)
	closeAll(conns)
}

// settle waits until the number of waiting requests no longer changes.
func settle(targets []string) {
	last := -1
	for range 50 {
		time.Sleep(200 * time.Millisecond)
		u := fetchUsage(targets, false)
		if u.Waiting == last {
			return
		}
		last = u.Waiting
	}
}

func memory(after, before usage) float64 {
	return float64(after.HeapBytes+after.StackBytes) - float64(before.HeapBytes+before.StackBytes)
}

func closeAll(conns []net.Conn) {
	for _, nc := range conns {
		_ = nc.Close()
	}
}
