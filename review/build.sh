#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin && go build -o ../../target/review-standin .)
