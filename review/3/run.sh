#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/corkcove ] && [ -x target/review/case-3 ] || exit 2
exec target/review/case-3 review/3
