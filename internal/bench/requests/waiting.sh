#!/usr/bin/env bash
# Measures the memory of the request plane for each idle connection and each
# waiting request. Usage: waiting.sh [requests...]
set -euo pipefail
cd "$(dirname "$0")/../../.."
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(1000 4000 10000)
bin=$(mktemp)
go build -o "$bin" ./internal/bench/requests
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; rm -f "$bin"' EXIT
GOMAXPROCS=3 "$bin" backends -count 10 -work 50s & pids+=($!)
port=18010
for size in "${sizes[@]}"; do
	for body in 0 512 16384; do
		port=$((port + 1))
		GOMAXPROCS=2 "$bin" proxy -kind plane -listen 127.0.0.1:$port & proxy=$!
		pids+=("$proxy")
		sleep 0.5
		"$bin" load -label "body $body" -target 127.0.0.1:$port -waiting "$size" -body "$body"
		kill "$proxy"
	done
done
