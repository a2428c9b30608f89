#!/bin/bash
# Builds the stand-ins and the cases of the second review, after the build of the deploy file, without a network.
# They need nothing but the JDK and the archive of that build, for its JSON library.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -cp target/lib/baobabcart-platform.jar -d target/review-2 review/kit-2/*.java \
    $(ls review/6/*.java review/7/*.java review/8/*.java review/9/*.java 2>/dev/null)
