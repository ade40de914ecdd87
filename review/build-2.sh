#!/bin/sh
# Builds the stand-ins that the scripts in review/4 to review/6 start. Run it after the build of the
# deploy file. It needs Go and no network.
set -eu
cd "$(dirname "$0")/standins-2"
GOTOOLCHAIN=local go build -o ../../target/review-2/standins-2 .
