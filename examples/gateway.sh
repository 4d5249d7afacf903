#!/bin/sh
# Starts a gateway on loopback addresses of this machine: three core nodes, two edge nodes,
# four fake endpoints and a fake platform API that lists them. `gateway.sh stop` stops it
# and deletes its files.
set -eu
cd "$(dirname "$0")/.."
dir=${TRY_DIR:-/tmp/corkcove-gateway}
if [ "${1:-start}" = stop ]; then
	for p in "$dir"/*.pid; do kill "$(cat "$p")" 2>/dev/null || true; done
	sleep 5
	rm -rf "$dir"
	exit 0
fi
go build -o target/ ./cmd/...
mkdir -p "$dir"

settings() { # name ip site extra-self-lines listen-addresses
	cat >"$dir/$1.toml" <<EOF
[self]
nodeName = "$1"
ip = "$2"
siteName = "$3"
firstStart = true
$4
[network]
innerPortRange = [7600, 7610]
seedList = ["127.0.5.1:7700", "127.0.5.2:7700", "127.0.5.3:7700"]
[network.listenAddrs]
$5
[hostPlatform]
discoverySource = "cloud"
entryKind = "vip"
deploymentSpec = "api"
[hostPlatform.cloudApi]
address = "127.0.8.1:7800"
ratePerS = 50
maxLagS = 1
EOF
}

endpoint_flags=
for i in 1 2 3 4; do
	s=$(((i - 1) % 2 + 1))
	target/fakeendpoint --addr "127.0.7.$i:7704" --service shop --site "site-$s" >"$dir/fakeendpoint-$i.log" 2>&1 &
	echo $! >"$dir/fakeendpoint-$i.pid"
	endpoint_flags="$endpoint_flags --endpoint shop,site-$s,127.0.7.$i:7704"
done
target/fakeendpoint platform --addr 127.0.8.1:7800 --page 3 $endpoint_flags >"$dir/platform.log" 2>&1 &
echo $! >"$dir/platform.pid"
for i in 1 2 3; do
	settings "core-$i" "127.0.5.$i" "site-$i" "dataDir = \"$dir/data-$i\"" "controlAddr = \"127.0.5.$i:7700\""
	CORKCOVE_CONFIG=$dir/core-$i.toml target/corkcove core >"$dir/core-$i.log" 2>&1 &
	echo $! >"$dir/core-$i.pid"
done
for i in 1 2; do
	settings "edge-$i" "127.0.6.$i" "site-$i" "" "front = \"127.0.6.$i:7702\"
readyAddr = \"127.0.6.$i:7703\""
	CORKCOVE_CONFIG=$dir/edge-$i.toml target/corkcove edge >"$dir/edge-$i.log" 2>&1 &
	echo $! >"$dir/edge-$i.pid"
done
cat >"$dir/configuration.json" <<'EOF'
{"stamp":"r1","resourceList":[
 {"variant":"bindingList","metadata":{"name":"buy"},"specification":{"hostname":"shop.example","pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":4,"targetS":0.5,"rank":1,"serviceName":"shop","maxAttempts":2,"sessionKey":"cookie fan"}},
 {"variant":"bindingList","metadata":{"name":"look"},"specification":{"hostname":"shop.example","pathPrefix":"/","bindingKind":"pure","timeoutS":3,"targetS":0.3,"rank":2,"serviceName":"shop","maxAttempts":2}},
 {"variant":"serviceList","metadata":{"name":"shop"},"specification":{"soundnessPath":"/health","maxConns":100,"protocol":"h1","tlsMode":false}}]}
EOF
echo "started in $dir; next, from the root of the repository:
  curl -L -X PUT -H 'If-Match: 0' --data @$dir/configuration.json http://127.0.5.1:7700/-/configuration
  curl -i http://127.0.6.1:7703/-/readiness
  curl -H 'Host: shop.example' -H 'X-Request-Id: 1' -H 'X-Deadline-Ms: 2000' http://127.0.6.1:7702/seats
  curl -H 'Host: shop.example' -H 'Cookie: fan=7' -H 'X-Request-Id: 2' -H 'X-Deadline-Ms: 2000' --data x http://127.0.6.2:7702/buy/
  target/corkcove status --settings $dir/core-1.toml
  target/corkcove sessions --settings $dir/core-1.toml
  examples/gateway.sh stop"
