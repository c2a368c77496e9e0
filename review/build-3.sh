#!/bin/sh
# Compiles the stand-ins of the third review. Run it after the build command of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp 'target/catkinproxy-platform/lib/*' review/standins-3/*.java
