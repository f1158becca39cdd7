#!/bin/sh
# Builds the stand-ins of the cases of the third review, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/cases3 ./review/cases3/platform
