#!/usr/bin/env bash
# Plays random faults against real processes and checks every promise; see `npm run soak -- --help`.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs platform
NODE_OPTIONS='--import tsx' exec node packages/soak/src/main.ts "$@"
