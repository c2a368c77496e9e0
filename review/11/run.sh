#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
java -Xmx512m -cp 'target/review-3:target/catkinproxy-platform/lib/*' LostAnswer \
    review/11/record.txt "$folder"
status=$?
rm -rf "$folder"
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
