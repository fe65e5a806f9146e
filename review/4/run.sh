#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand ] && [ -x ../../target/bambooyardd ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec ../bin/stand cells .
