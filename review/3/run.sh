#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption. Run review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/SpoiledEvent.class ] || exit 2
timeout -k 5 115 java -Xmx256m -cp "target/review:target/catkinproxy-platform/lib/*" SpoiledEvent
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
