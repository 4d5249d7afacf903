#!/bin/sh
# Case 6: an endpoint that has signed off gets requests again. See claim.txt.
# TROUBLE=0: the sidecar beside the endpoint is not restarted.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/corkcove ] && [ -x target/review-2/6 ] || exit 2
exec target/review-2/6 review/6/record.txt
