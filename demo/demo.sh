#!/usr/bin/env bash
# Starts a small fleet on loopback: the platform stand-in, two model engines, a plain
# service and four instances in two failure domains. Sends requests, prints the
# answers, the bills and the budgets, and stops all processes.
set -uo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
dir=$(mktemp -d)
pids=()
names=()
failed=0

fail() {
	echo "demo: $*" >&2
	failed=1
}

run() {
	echo "\$ $(basename "$1") ${*:2}"
	"$@" || fail "exit code $?: $(basename "$1") ${*:2}"
	echo
}

# start NAME PROGRAM ARGUMENTS... starts a process, with its output and log in $dir.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pids+=($!)
	names+=("$name")
}

# stop FIRST stops the processes from index FIRST on and checks their exit codes.
stop() {
	local i code
	for ((i = $1; i < ${#pids[@]}; i++)); do
		kill -TERM "${pids[i]}" 2>/dev/null || fail "${names[i]} was no longer running"
	done
	for ((i = $1; i < ${#pids[@]}; i++)); do
		wait "${pids[i]}"
		code=$?
		echo "stopped ${names[i]}: exit code $code"
		if ((code != 0)); then
			fail "${names[i]} ended with $code"
			tail -n 5 "$dir/${names[i]}.log" >&2
		fi
	done
	pids=("${pids[@]:0:$1}")
}

finish() {
	stop 0
	rm -rf "$dir"
}

port=$((20000 + RANDOM % 10000))

# next_port sets $port to the next free port.
next_port() {
	port=$((port + 1))
	while (: <"/dev/tcp/127.0.0.1/$port") 2>/dev/null; do
		port=$((port + 1))
	done
}

# address VARIABLE sets the variable to a free loopback address.
address() {
	next_port
	printf -v "$1" '127.0.0.1:%d' "$port"
}

trap 'finish; exit 130' INT TERM

address store
address list
address assist1
address assist2
address desk
start platform "$bin/bluebellstand" platform --store "$store" --list "$list"
start assist-1 "$bin/bluebellstand" engine --listen "$assist1"
start assist-2 "$bin/bluebellstand" engine --listen "$assist2"
start desk-1 "$bin/bluebellstand" plain --listen "$desk"
targets=${#pids[@]}

run "$bin/bluebellstand" get "$list" /v1/instances
instances=()
admins=()
for name in uppsala-1 uppsala-2 gavle-1 gavle-2; do
	address listen
	address admin
	address peer
	start "$name" "$bin/bluebellport" serve --instance "$name" --domain "${name%-*}" \
		--store "$store" --list "$list" --listen "$listen" --admin "$admin" --peer "$peer"
	instances+=("$listen")
	admins+=("$admin")
	"$bin/bluebellstand" post "$list" /v1/instances \
		"{\"id\":\"$name\",\"domain\":\"${name%-*}\",\"address\":\"$peer\"}" >/dev/null || fail "list of instances"
done

sed -e "s/127.0.0.1:7001/$assist1/" -e "s/127.0.0.1:7002/$assist2/" -e "s/127.0.0.1:7003/$desk/" \
	demo/ticket.yaml >"$dir/ticket.yaml"
export BLUEBELLCTL_STORE=$store
run "$bin/bluebellctl" ticket apply "$dir/ticket.yaml"
for admin in "${admins[@]}"; do
	"$bin/bluebellstand" get --timeout 20s "$admin" /readyz >/dev/null || fail "instance at $admin is not ready"
done
run "$bin/bluebellctl" "${admins[@]/#/--admin=}" status

run "$bin/bluebellstand" ask --instance "${instances[0]}" --key demo-norra --id draft-1 \
	--service permit-assist "Draft an excavation permit for Storgatan"
run "$bin/bluebellstand" ask --instance "${instances[2]}" --key demo-gata --id draft-2 --stream \
	--service permit-assist "Which conditions apply to Kungsgatan?"
run "$bin/bluebellstand" ask --instance "${instances[1]}" --key demo-norra --id book-1 --write \
	--plain closure-desk /closures/storgatan
run "$bin/bluebellstand" ask --instance "${instances[3]}" --key demo-norra \
	--plain closure-desk /closures/storgatan
run "$bin/bluebellstand" ask --instance "${instances[0]}" --key demo-norra --id book-1 --write \
	--plain closure-desk /closures/storgatan
run "$bin/bluebellstand" load "${instances[@]/#/--instance=}" --key demo-norra --key demo-gata \
	--service permit-assist --plain closure-desk --plain-share 0.3 --count 60 --rate 30

sleep 2
run "$bin/bluebellctl" bill list --totals
run "$bin/bluebellctl" bill show book-1
run "$bin/bluebellctl" budget show

stop "$targets"
run "$bin/bluebellctl" budget show
finish
trap - INT TERM
if ((failed)); then
	echo "demo: failed" >&2
	exit 1
fi
echo "demo: all answers were whole, all processes stopped with exit code 0"
