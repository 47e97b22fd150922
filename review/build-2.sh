#!/bin/sh
# Builds the stand-ins of the cases of the second review. Run it after the build of the
# deploy file, from any folder.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/harness
