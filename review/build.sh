#!/bin/sh
# Builds the driver with all stand-ins of the scripts. It needs no network once the modules
# of go.mod are there.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/driver
