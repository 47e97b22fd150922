#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The daemon is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig ./review/rig
