#!/bin/sh
# Builds the stand-ins of the second review, which the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases2 ./review/cases2/platform
