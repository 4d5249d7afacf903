#!/bin/sh
# Plays all days of this folder on a deployment, one after the other: BENCH is the
# bench's program, the first word the site file, further ones go to the bench.
# Prints for each day its row of the report and every broken rule.
set -u
cd "$(dirname "$0")/.."
site=$1
shift
for d in days/*.toml; do
	n=$(basename "$d" .toml)
	"$BENCH" run "$site" "$d" --why "own day $n" "$@" 2>&1 | grep -E "^$n |^[A-Z]+ |broken|failed to|error:" | cut -c1-200
done
