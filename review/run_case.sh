#!/bin/sh
# Runs a case of the driver: run_case.sh NAME FOLDER. Ends with 1 if the rule was broken, 0 if it held and 2
# if the case could not run.
root="$(cd "$(dirname "$0")/.." && pwd)"
for program in target/coltsfootstall target/review/driver; do
	if [ ! -x "$root/$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
exec timeout --signal=TERM --kill-after=5 115 "$root/target/review/driver" "$1" "$root/target/coltsfootstall" "$2"
