#!/usr/bin/env bash
# Compiles the stand-ins and the cases; run after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review -cp "target/catkinproxy-platform/lib/*" review/standins/*.java $(ls review/[1-5]/*.java 2>/dev/null || true)
