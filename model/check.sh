#!/usr/bin/env bash
# Checks the models exhaustively at small bounds, and that the checker refutes
# every broken variant. Prints the verdict and the number of states of each run.
# Fails when a correct model has an error or is not searched completely, and when
# a broken variant passes.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
dir="$(mktemp -d)"
trap 'rm -rf "$dir"' EXIT
memory=1500   # MB for each run; the runs are sequential
seconds=180   # for each run
failed=0

# run FILE DEFINES... runs the checker: the report is in pan.log, $states and $errors are set.
run() {
	local file="$1"
	shift
	cd "$dir"
	rm -f pan pan.*
	spin -a "$@" "$here/$file" >spin.log 2>&1 || { cat spin.log; return 1; }
	gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory" -o pan pan.c
	timeout "$seconds" ./pan -m200000 -n -E >pan.log 2>&1 || true
	states="$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)"
	errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)"
}

# good FILE DEFINES... must be searched completely, without an error.
good() {
	run "$@"
	if [ "${errors:-none}" = 0 ] && ! grep -Eq 'reached -DMEMLIM|search not completed|max search depth' pan.log; then
		printf 'holds    %-10s %-30s %9s states\n' "$1" "${*:2}" "$states"
		return
	fi
	printf 'FAILED   %-10s %-30s %9s states, errors: %s\n' "$1" "${*:2}" "${states:-?}" "${errors:-not finished}"
	grep -E 'assertion|MEMLIM|depth too small' pan.log || true
	failed=1
}

# broken FILE DEFINES... must be refuted.
broken() {
	run "$@" -DBROKEN
	if [ "${errors:-0}" -gt 0 ] && grep -q 'assertion violated' pan.log; then
		printf 'refuted  %-10s %-30s %9s states\n' "$1" "${*:2}" "$states"
		return
	fi
	printf 'FAILED   %-10s %-30s was not refuted\n' "$1" "${*:2}"
	failed=1
}

good ledger.pml -DPAID=2 -DTOPUP=0 -DREVS=4
good ledger.pml -DPAID=1 -DTOPUP=1 -DREVS=5
good claim.pml
good share.pml -DPAID=2 -DREVS=4
for v in RECLAIM_TIME RECLAIM_COPY LATE_ACK LIMBO_MOST GRANT_CLOSED; do
	broken ledger.pml -DPAID=2 -DTOPUP=0 -DREVS=5 -D"$v"
done
for v in RETRY_SILENCE LOST_IS_NO SEND_FIRST; do
	broken claim.pml -D"$v"
done
for v in CLOSE_SPENT RAISE_EARLY LOWER_LATE LENDER_KEEPS LOAN_TWICE; do
	broken share.pml -DPAID=2 -DREVS=4 -D"$v"
done
exit "$failed"
