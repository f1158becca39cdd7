#!/bin/sh
# Builds the programs of the review's scripts into target/review/: the cases, with the
# stand-ins that they hold. The system itself is built by the build line of
# deploy/system.toml. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-9]; do
	if [ -f "$folder/main.go" ]; then
		go build -o "target/$folder" "./$folder"
	fi
done
