#!/usr/bin/env bash
# Measures the request plane against the baseline on loopback, in turns, so
# that both see the same noise. Usage: run.sh [rounds] [seconds] [connections...]
set -euo pipefail
cd "$(dirname "$0")/../../.."
rounds=${1:-3}
seconds=${2:-4}
shift $(($# < 2 ? $# : 2))
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(1 64 480)
slow=${SLOW:-0}
work=${WORK:-0}
body=${BODY:-512}
bin=$(mktemp)
go build -o "$bin" ./internal/bench/requests
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; rm -f "$bin"' EXIT
GOMAXPROCS=3 "$bin" backends -count 10 -work "$work" -slow "$slow" & pids+=($!)
GOMAXPROCS=2 "$bin" proxy -kind baseline -listen 127.0.0.1:18000 & pids+=($!)
GOMAXPROCS=2 "$bin" proxy -kind plane -listen 127.0.0.1:18001 & pids+=($!)
sleep 1
direct=$(seq -s, -f '127.0.0.1:%.0f' 18100 18109)
for size in "${sizes[@]}"; do
	for _ in $(seq "$rounds"); do
		if [ "${DIRECT:-1}" = 1 ]; then
			GOMAXPROCS=3 "$bin" load -label direct -target "$direct" -connections "$size" -duration "${seconds}s" -body "$body"
		fi
		GOMAXPROCS=3 "$bin" load -label baseline -target 127.0.0.1:18000 -connections "$size" -duration "${seconds}s" -body "$body"
		GOMAXPROCS=3 "$bin" load -label plane -target 127.0.0.1:18001 -connections "$size" -duration "${seconds}s" -body "$body"
	done
done
