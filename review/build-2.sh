#!/usr/bin/env bash
# Builds what the scripts of this review start. Their store, replicas, clients and links are plain modules that need no
# build; the programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/lib-2/*.mjs review/{6,7,8,9,10}/play.mjs; do
  [ ! -e "$module" ] || node --check "$module"
done
test -e target/pimentoplank-entry.cjs || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
