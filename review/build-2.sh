#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs the build of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp "target/catkinproxy-platform/lib/*" review/standins-2/src/*.java
