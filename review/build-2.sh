#!/usr/bin/env bash
# Builds the stand-ins of the second review. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/stand2
go build -o ../../target/review-2/stand2 .
