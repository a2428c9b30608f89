#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
java -cp target/lib/baobabcart-platform.jar:target/review-2 PiecesTwice review/6/record.txt &
case=$!
trap 'kill "$case"' TERM INT
wait "$case"
code=$?
[ "$code" -gt 128 ] && wait "$case"
# Java itself exits with 1 if it can't start the case, so a broken rule has a code of its own.
case "$code" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
