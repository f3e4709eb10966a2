#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/7/play.mjs
