#!/bin/sh
# Builds the stand-ins of the review's scripts, beside the program.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-world ./review/world
