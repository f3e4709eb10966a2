#!/usr/bin/env bash
# Runs the fault matrix on real processes and prints a table of faults and steps; arguments go to the test runner.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs
mkdir -p reports
status=0
NODE_OPTIONS='--import tsx' npx cucumber-js -p faults "$@" || status=$?
node scripts/faultTable.mjs reports/faults.ndjson
node scripts/summary.mjs reports/faults.ndjson "$status"
