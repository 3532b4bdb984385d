#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The relay comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/.standin
