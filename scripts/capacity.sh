#!/usr/bin/env bash
# Sets up what is missing, builds the programs and measures the slopes of docs/CAPACITY.md; --quick takes smaller sizes.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs
exec node packages/standins/dist/capacity.js "$@"
