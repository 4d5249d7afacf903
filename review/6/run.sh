#!/bin/sh
# Case 6: uploads whose clients have left reach the endpoint. See claim.txt.
# TROUBLE=0: the clients wait for their answers instead.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/corkcove ] && [ -x target/review-2/6 ] || exit 2
exec target/review-2/6 review/6/record.txt
