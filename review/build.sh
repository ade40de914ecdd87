#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. It needs Go and no network.
set -e
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOTOOLCHAIN=local go build -o ../../target/review/harness .
