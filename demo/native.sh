#!/usr/bin/env bash
# Starts two "bluebellport native" instances and the platform stand-ins on loopback.
# Spends a small prepaid amount through both instances, prints the refusal once it is
# used up, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
dir=$(mktemp -d)
pids=()
finish() {
	local code=$?
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" || { echo "demo: a process ended with $?" >&2; code=1; }; done
	grep -h '"ran"' "$dir/stand.log" || true
	rm -rf "$dir"
	exit "$code"
}
trap finish EXIT

port=$((20000 + RANDOM % 10000))
store=127.0.0.1:$port
"$bin/bluebellstand" native --store "$store" --plan demo/plan.json \
	--target engine-1=permit-assist@uppsala:engine --target engine-2=permit-assist@gavle:engine \
	--target desk-1=closure-desk@uppsala >"$dir/stand.out" 2>"$dir/stand.log" &
pids+=($!)

# instance NAME DOMAIN starts an instance, sets $address to its address and waits
# until it is ready.
instance() {
	port=$((port + 10))
	address=127.0.0.1:$port
	local ready=127.0.0.1:$((port + 1))
	printf '%s\n' "node-name=$1" "zone=$2" "listen-addresses.frontend=$address" "listen-addresses.ready=$ready" \
		"listen-addresses.control-plane=127.0.0.1:$((port + 2))" "platform.address=$store" "bounds.grace-period-s=6" >"$dir/$1.conf"
	BLUEBELLPORT_SETTINGS="$dir/$1.conf" "$bin/bluebellport" native >"$dir/$1.log" 2>&1 &
	pids+=($!)
	"$bin/bluebellstand" get --timeout 20s "$ready" /readiness >/dev/null
}
instance first uppsala
first=$address
instance second gavle
second=$address

call() {
	echo "\$ bluebellstand native-call $*"
	"$bin/bluebellstand" native-call --host desk.example --key demo-key "$@"
	echo
}
call --address "$first" --path /book/closure-1
call --address "$first" --path /draft/permit-1 --usage 200,100
call --address "$second" --path /draft/permit-2 --usage 200,100 --count 5
call --address "$first" --path /draft/permit-3 --usage 200,100 --count 12
call --address "$second" --path /draft/permit-4 --usage 200,100 --count 2
