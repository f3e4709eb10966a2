#!/usr/bin/env bash
# Sets up what is missing, builds the programs and runs the benchmark; --quick ends within a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs
exec node packages/standins/dist/bench.js "$@"
