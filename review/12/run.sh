#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/auburnpierd ] || { echo "build first: the deploy file's build and review/build-3.sh"; exit 2; }
exec target/review-3 lateorder review/12/record.txt
