#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/play2 ./review/play2
