#!/bin/sh
# Case 5: an endpoint that has signed off gets requests again. See claim.txt.
# TROUBLE=0: the sidecar beside the endpoint is not restarted.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/corkcove ] && [ -x target/review-2/5 ] || exit 2
exec target/review-2/5 review/5/record.txt
