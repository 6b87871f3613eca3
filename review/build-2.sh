#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
go build -buildvcs=false -o ../../target/review-2/cases .
