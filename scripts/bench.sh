#!/usr/bin/env bash
# Sets up what is missing, builds the programs and runs the benchmark; --quick is short, --memory measures a job of
# 210,000 items through one entry process.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs
if [ "${1:-}" = --memory ]; then exec node --import tsx scripts/benchBatchMemory.mjs; fi
exec node packages/standins/dist/bench.js "$@"
