#!/usr/bin/env bash
# Builds the program with the stand-ins that the scripts of the cases of this review start. The
# scheduler itself is built with the command of deploy/system.toml before.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -o target/ ./review/harness-3
