#!/usr/bin/env bash
# Installs packages if needed, builds the programs and runs the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
node scripts/build.mjs
exec node packages/standins/dist/demo.js "$@"
