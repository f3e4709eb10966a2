#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run stands in record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/pimentoplank-entry.cjs ] && [ -d node_modules/smol-toml ] || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
exec env TROUBLE="${TROUBLE:-1}" node review/9/play.mjs
