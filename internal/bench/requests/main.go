// Command requests measures the request plane against a plain reverse proxy on
// loopback. Its roles run as separate processes, so that the CPU time of the
// proxy under test is its own:
//
//	requests backends -count 10 -work 0 &
//	requests proxy -kind plane -listen 127.0.0.1:18000 &
//	requests load -target 127.0.0.1:18000 -connections 64 -duration 5s
//
// run.sh next to it starts the roles and prints a table.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// firstPort is the port of the first backend server.
const firstPort = 18100

func main() {
	if len(os.Args) < 2 {
		fail("usage: requests backends|proxy|load [flags]")
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	count := flags.Int("count", 10, "backend servers")
	work := flags.Duration("work", 0, "time that a backend server works on a request")
	slow := flags.Duration("slow", 0, "time that the first backend server takes instead")
	kind := flags.String("kind", "plane", "proxy under test: plane or baseline")
	listen := flags.String("listen", "127.0.0.1:18000", "address of the proxy")
	slots := flags.Int("slots", 8, "slots of each backend server")
	target := flags.String("target", "127.0.0.1:18000", "comma-separated addresses under load")
	connections := flags.Int("connections", 64, "connections, one request at a time on each")
	duration := flags.Duration("duration", 5*time.Second, "length of the measurement")
	label := flags.String("label", "", "first column of the result")
	body := flags.Int("body", 512, "bytes of a request body")
	idle := flags.Int("idle", 0, "further connections that are open and send nothing")
	waiting := flags.Int("waiting", 0, "measure the memory of that many waiting requests instead")
	if err := flags.Parse(os.Args[2:]); err != nil {
		fail(err.Error())
	}
	switch os.Args[1] {
	case "backends":
		runBackends(*count, *work, *slow)
	case "proxy":
		runProxy(*kind, *listen, *count, *slots)
	case "load":
		runLoad(loadOptions{target: *target, connections: *connections, duration: *duration, label: *label,
			body: *body, idle: *idle, waiting: *waiting})
	default:
		fail("unknown role " + os.Args[1])
	}
}

func fail(message string) {
	fmt.Fprintln(os.Stderr, message)
	os.Exit(1)
}
