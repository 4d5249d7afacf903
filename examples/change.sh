#!/bin/sh
# A change of configuration, foretold and then made, on the mesh of try.sh:
# sessions are opened, the traffic is replayed under two new configurations,
# the harmless one is pushed, and the sessions are shown again.
set -eu
cd "$(dirname "$0")/.."
dir=${TRY_DIR:-/tmp/corkcove-try}
set_=$dir/core-1.toml
put() { curl -s -o /dev/null -w "$2 %{http_code}\n" -L -X PUT -H "If-Match: $1" --data @"$3" http://127.0.1.1:7700/-/configuration; }
buy() { # from to: sessions, each buying at two nodes in turn
	for f in $(seq "$1" "$2"); do
		for n in 1 2; do
			curl -s -o /dev/null -H 'Host: shop.example' -H "Cookie: fan=fan-$f" -H "X-Request-Id: b$f-$n-$3" -H 'X-Deadline-Ms: 3000' --data seat "http://127.0.2.$n:7702/buy/seat"
			curl -s -o /dev/null -H 'Host: shop.example' -H "X-Request-Id: l$f-$n-$3" -H 'X-Deadline-Ms: 2000' "http://127.0.2.$n:7702/seats"
		done
	done
}
put 0 "r1" "$dir/configuration.json"
sleep 1
buy 1 40 a
target/corkcove sessions --settings "$set_" | head -4
target/corkcove replay save "$dir/carried.bin" --settings "$set_"
sed -e 's/"r1"/"r2"/' -e 's/"timeoutS":4/"timeoutS":3.5/' "$dir/configuration.json" >"$dir/harmless.json"
sed -e 's/"r1"/"r2"/' -e 's/"timeoutS":4/"timeoutS":0.01/' "$dir/configuration.json" >"$dir/harmful.json"
echo "== a time-out cut to 10 ms"
target/corkcove replay run "$dir/carried.bin" --config "$dir/harmful.json" --most 3 || echo "exit code $?"
echo "== a time-out of 3.5 s"
target/corkcove replay run "$dir/carried.bin" --config "$dir/harmless.json" --most 3 && echo "exit code 0"
put r1 "r2" "$dir/harmless.json"
buy 1 40 b
target/corkcove sessions --since r2 --settings "$set_" | head -4
