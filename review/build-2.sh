#!/bin/bash
# The scripts of cases 6 to 10 and their stand-ins in lib-2 are plain JavaScript that
# needs no build and no packages. This checks that node can read all of them.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.js [0-9]*/case.js; do
  node --check "$file" || exit 1
done
