#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp "target/review-2:target/catkinproxy-platform/lib/*" HealedLink review/10/record.txt
