#!/usr/bin/env bash
# Renames a Go identifier and all its uses, with a pinned version of gopls.
# Usage: scripts/rename.sh FILE:LINE:COLUMN NAME
set -euo pipefail
cd "$(dirname "$0")/.."
gopls_version=v0.23.0
gopls="$(go env GOPATH)/bin/gopls"
if ! "$gopls" version 2>/dev/null | grep -q "gopls $gopls_version"; then
  go install "golang.org/x/tools/gopls@$gopls_version"
fi
"$gopls" rename -w "$1" "$2"
