#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standins-3"
go build -buildvcs=false -o ../../target/review-3 .
