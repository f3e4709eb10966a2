#!/usr/bin/env bash
# Installs packages if needed, builds the programs and runs the benchmark; --quick runs a short version, --memory
# measures the memory of one entry process that handles a job of 210,000 items.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs
if [ "${1:-}" = --memory ]; then exec node --import tsx scripts/benchBatchMemory.mjs; fi
exec node packages/standins/dist/bench.js "$@"
