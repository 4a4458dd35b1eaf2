#!/usr/bin/env bash
# Builds the stand-ins that the cases start.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS= GOWORK=off go build -o ../bin/standin .
