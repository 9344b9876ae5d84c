#!/usr/bin/env bash
# Compiles the cases 6 to 10 and their stand-ins. Needs the JDK alone; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=app/target/review-2
rm -rf "$out"
mkdir -p "$out"
javac --release 17 -encoding UTF-8 -d "$out" review/lib-2/*.java $(find review/6 review/7 review/8 review/9 review/10 -name "*.java" 2>/dev/null)
