#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
# TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
standin=../../target/review-standin2
node=../../target/almondbay
if [ ! -x "$standin" ] || [ ! -x "$node" ]; then
	echo "not built: run the build of deploy/system.toml and review/build-2.sh"
	exit 2
fi
exec timeout -k 5 118 "$standin" 10 "$node" record.txt
