#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
program=review/build/cases/case-$number
[ -x "$program" ] && [ -x target/apps/beryllaned ] || exit 2
timeout -k 2 118 "$program" "review/$number" review/build
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
