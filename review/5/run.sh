#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/watchreplies ] && [ -x target/control ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
exec timeout -k 5 110 target/review-2/watchreplies "$PWD" "$PWD/review/5/record.txt"
