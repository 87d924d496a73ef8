package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

type loadOptions struct {
	target      string // comma-separated; more than one means no proxy
	connections int
	duration    time.Duration
	label       string
	body        int
	idle        int
	waiting     int
}

// runLoad keeps each connection busy with one request at a time and prints one
// row: requests a second, latency percentiles, and the CPU time, allocations
// and bytes allocated of the proxy for each request.
func runLoad(o loadOptions) {
	targets := strings.Split(o.target, ",")
	hold(targets[0], o.idle)
	if o.waiting > 0 {
		measureWaiting(o, targets[0])
		return
	}
	drive(o, targets, time.Second)
	before := fetchUsage(targets, false)
	latencies, failed := drive(o, targets, o.duration)
	after := fetchUsage(targets, false)
	slices.Sort(latencies)
	n := float64(len(latencies))
	if n == 0 {
		fail("no request was answered")
	}
	fmt.Printf("%-10s %4d conns %8.0f req/s  p50 %8v p99 %8v p99.9 %8v  cpu %6.1f us  allocs %5.1f  alloc %6.0f B  failed %d\n",
		o.label, o.connections, n/o.duration.Seconds(),
		percentile(latencies, 0.5), percentile(latencies, 0.99), percentile(latencies, 0.999),
		float64(after.CPUNanos-before.CPUNanos)/1000/n,
		float64(after.Mallocs-before.Mallocs)/n, float64(after.AllocBytes-before.AllocBytes)/n, failed)
}

// drive returns the latencies of the requests that were answered with 200.
func drive(o loadOptions, targets []string, length time.Duration) (latencies []time.Duration, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := range o.connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			mine, bad := client(targets[i%len(targets)], o.body, end)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, mine...)
			failed += bad
		}()
	}
	wg.Wait()
	return latencies, failed
}

// client sends the same request again and again on one connection.
func client(target string, body int, end time.Time) (latencies []time.Duration, failed int) {
	nc, err := net.Dial("tcp", target)
	if err != nil {
		fail(err.Error())
	}
	defer func() { _ = nc.Close() }()
	message := requestBytes(target, body)
	br := bufio.NewReader(nc)
	latencies = make([]time.Duration, 0, 1<<14)
	for {
		began := time.Now()
		if !began.Before(end) {
			return latencies, failed
		}
		if _, err := nc.Write(message); err != nil {
			return latencies, failed + 1
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return latencies, failed + 1
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil || n != answerBytes || resp.StatusCode != http.StatusOK {
			failed++
			continue
		}
		latencies = append(latencies, time.Since(began))
	}
}

func requestBytes(target string, body int) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"+
		"User-Agent: bench\r\nAccept: */*\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s",
		benchPath, target, benchKey, body, strings.Repeat("b", body))
}

func percentile(sorted []time.Duration, q float64) time.Duration {
	i := min(int(float64(len(sorted))*q), len(sorted)-1)
	return sorted[i].Round(time.Microsecond)
}

// fetchUsage reads the usage of the proxy. Without a proxy it is empty.
func fetchUsage(targets []string, collect bool) usage {
	var u usage
	if len(targets) > 1 {
		return u
	}
	url := "http://" + targets[0] + "/usage"
	if collect {
		url += "?collect"
	}
	resp, err := http.Get(url)
	if err != nil {
		fail(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
		fail(err.Error())
	}
	return u
}

// hold opens connections that send nothing until the process ends.
func hold(target string, n int) []net.Conn {
	conns := make([]net.Conn, 0, n)
	for range n {
		nc, err := net.Dial("tcp", target)
		if err != nil {
			fail(err.Error())
		}
		conns = append(conns, nc)
	}
	return conns
}
