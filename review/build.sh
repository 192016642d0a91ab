#!/bin/sh
# Builds the driver of the cases with its stand-ins. The program under test is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/driver
