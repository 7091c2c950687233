#!/bin/sh
# Builds the programs of the cases. The build line of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-1 ./review/1
go build -o target/review-2 ./review/2
