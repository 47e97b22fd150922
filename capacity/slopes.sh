#!/bin/sh
# Prints the benchmark results behind docs/CAPACITY.md: cost by size of the system.
set -eu
cd "$(dirname "$0")/.."
go test ./capacity -run xxx -bench . -benchtime "${BENCHTIME:-300ms}" | grep '^Benchmark'
go test ./balancer -run xxx -bench Choose -benchtime "${BENCHTIME:-300ms}" | grep '^Benchmark'
go test ./pool -run xxx -bench Decision -benchtime "${BENCHTIME:-300ms}" | grep '^Benchmark'
go run ./cmd/standin fleet -instances "${INSTANCES:-7,20,60,120}" -organisations 10 -upstreams 60
go run ./cmd/standin fleet -instances "${INSTANCES:-7,20,60,120}"
