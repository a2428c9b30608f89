#!/bin/bash
# Builds the stand-ins of the review, after the build of the deploy file. Needs no network and no library beyond those in the router's archive.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/lib/baobabcart-platform.jar || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
mkdir -p target/review
javac -encoding UTF-8 -cp target/lib/baobabcart-platform.jar -d target/review review/harness/review/*.java
