#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption. Exit codes: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand2 ] && [ -x target/bambooyardd ] || exit 2
exec target/review-2/stand2 late-submit review/7
