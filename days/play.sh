#!/bin/sh
# Runs every fault scenario of this directory against a deployment, one after the other.
#
# Usage: BENCH=program days/play.sh site-file [argument...]
#
# BENCH is the path of the benchmark program; the further arguments are passed on to it.
# Prints the report row of each scenario, the rules it broke and its errors.
set -u
cd "$(dirname "$0")/.."
site=$1
shift
for d in days/*.toml; do
	n=$(basename "$d" .toml)
	"$BENCH" run "$site" "$d" --why "own day $n" "$@" 2>&1 | grep -E "^$n |^[A-Z]+ |broken|failed to|error:" | cut -c1-200
done
