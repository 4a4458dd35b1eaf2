#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-2 ./review/standin-2
