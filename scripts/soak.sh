#!/usr/bin/env bash
# Injects random faults into real processes and checks every guarantee; see `npm run soak -- --help`.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs platform
NODE_OPTIONS='--import tsx' exec node packages/soak/src/main.ts "$@"
