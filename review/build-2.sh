#!/bin/sh
# Builds the stand-in of the scripts in review/6 to review/8. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
out=$(pwd)/target/standin-2
cd review/standin-2
go build -buildvcs=false -o "$out" .
