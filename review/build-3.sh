#!/bin/sh
# Builds the stand-in that the scripts of the third review start. Run it in the repository root,
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/_standin3
