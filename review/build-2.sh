#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 and up start. The relay comes from the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2-standin ./review/.standin2
