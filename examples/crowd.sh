#!/bin/sh
# Shows a hot key on the mesh that try.sh starts: gives the route "look" a hot key, predicts
# by a replay where its reads will go, pushes the change, sends many reads of one seat map
# along with purchases, and compares the result with the forecast.
set -eu
cd "$(dirname "$0")/.."
dir=${TRY_DIR:-/tmp/corkcove-try}
settings_file=$dir/core-1.toml
put() { curl -s -o /dev/null -w "$2 %{http_code}\n" -L -X PUT -H "If-Match: $1" --data @"$3" http://127.0.1.1:7700/-/configuration; }
read_path() { # prefix count path: reads from all nodes in turn, 24 at a time; prefix starts the request IDs
	for i in $(seq 1 "$2"); do
		n=$((i % 4 + 1))
		curl -s -o /dev/null -H 'Host: shop.example' -H "X-Request-Id: $1-$i" -H 'X-Deadline-Ms: 3000' "http://127.0.2.$n:7702/$3" &
		if [ $((i % 24)) -eq 0 ]; then wait; fi
	done
	wait
}
buy() { # prefix count: purchases; prints how often each status code was returned
	for i in $(seq 1 "$2"); do
		n=$((i % 4 + 1))
		curl -s -o /dev/null -w '%{http_code}\n' -H 'Host: shop.example' -H "X-Request-Id: $1-$i" -H 'X-Deadline-Ms: 3000' --data seat "http://127.0.2.$n:7702/buy/final"
	done | sort | uniq -c
}
put 0 r1 "$dir/configuration.json"
sleep 1
read_path a 1600 final
sleep 1
target/corkcove replay save "$dir/before.bin" --settings "$settings_file"
sed -e 's/"r1"/"r2"/' -e 's#"pathPrefix":"/","bindingKind":"pure"#"pathPrefix":"/","hotKey":"path 1","bindingKind":"pure"#' "$dir/configuration.json" >"$dir/keyed.json"
target/corkcove replay run "$dir/before.bin" --config "$dir/keyed.json" --settle 3s --save "$dir/forecast.json" --most 3 && echo "exit code 0" || echo "exit code $?"
put r1 r2 "$dir/keyed.json"
sleep 2
read_path b 1600 final
sleep 1
target/corkcove replay save "$dir/after.bin" --settings "$settings_file"
target/corkcove replay compare "$dir/forecast.json" "$dir/after.bin" --settle 3s --most 12 && echo "exit code 0" || echo "exit code $?"
read_path d 1200 final &
sleep 3
echo "== during the load"
target/corkcove keys --settings "$settings_file"
echo "== purchases during the load, by status code"
buy c 40
wait
sleep 12
echo "== after the load"
target/corkcove keys --settings "$settings_file"
