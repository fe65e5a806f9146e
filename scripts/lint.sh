#!/usr/bin/env bash
# Checks the formatting and lints the code with a pinned version of the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
lint_version=v2.15.0
unformatted=$(gofmt -l $(git ls-files --cached --others --exclude-standard '*.go'))
if [ -n "$unformatted" ]; then
  echo "gofmt: $unformatted"
  exit 1
fi
go vet ./...
lint="$(go env GOPATH)/bin/golangci-lint"
if ! "$lint" version 2>/dev/null | grep -q "${lint_version#v}"; then
  go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$lint_version"
fi
"$lint" run ./...
