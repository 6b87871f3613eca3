#!/bin/sh
# Builds the stand-ins of the review's scripts. The programs under review are built by the
# command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review-standin .
