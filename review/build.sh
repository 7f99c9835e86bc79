#!/bin/sh
# Builds the project's stand-ins, which the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
node_modules/.bin/tsc -b
