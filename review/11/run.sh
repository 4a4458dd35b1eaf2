#!/usr/bin/env bash
# Exits with 1 if ROUTE was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 no upstream
# takes the address of the one that is gone.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/tanagerchute ] && [ -x target/review-3/reuse ] || { echo "not built"; exit 2; }
exec target/review-3/reuse target/tanagerchute "$here/record.txt"
