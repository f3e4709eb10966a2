#!/usr/bin/env bash
# Installs packages if needed, builds the programs and measures the slopes in docs/CAPACITY.md; --quick uses smaller
# sizes.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs
exec node packages/standins/dist/capacity.js "$@"
