#!/bin/sh
# Previews a configuration change and then applies it, on the mesh that try.sh starts:
# opens sessions, replays the recorded traffic under two new configurations, pushes the
# harmless one and shows the sessions again.
set -eu
cd "$(dirname "$0")/.."
dir=${TRY_DIR:-/tmp/corkcove-try}
settings_file=$dir/core-1.toml
put() { curl -s -o /dev/null -w "$2 %{http_code}\n" -L -X PUT -H "If-Match: $1" --data @"$3" http://127.0.1.1:7700/-/configuration; }
buy() { # first last suffix: one purchase and one read per session and node, on two nodes
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
target/corkcove sessions --settings "$settings_file" | head -4
target/corkcove replay save "$dir/carried.bin" --settings "$settings_file"
sed -e 's/"r1"/"r2"/' -e 's/"timeoutS":4/"timeoutS":3.5/' "$dir/configuration.json" >"$dir/harmless.json"
sed -e 's/"r1"/"r2"/' -e 's/"timeoutS":4/"timeoutS":0.01/' "$dir/configuration.json" >"$dir/harmful.json"
echo "== timeout reduced to 10 ms"
target/corkcove replay run "$dir/carried.bin" --config "$dir/harmful.json" --most 3 || echo "exit code $?"
echo "== timeout of 3.5 s"
target/corkcove replay run "$dir/carried.bin" --config "$dir/harmless.json" --most 3 && echo "exit code 0"
put r1 "r2" "$dir/harmless.json"
buy 1 40 b
target/corkcove sessions --since r2 --settings "$settings_file" | head -4
