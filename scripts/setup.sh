#!/usr/bin/env bash
# Installs packages if they are missing or older than the lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --prefer-offline
  touch node_modules/.package-lock.json
fi
