#!/usr/bin/env bash
# Builds the driver and stand-ins of case 11 into target/review-3/. Run it after the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
go build -buildvcs=false -o ../../target/review-3/ ./reuse
