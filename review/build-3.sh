#!/bin/sh
# Builds the stand-ins of the third review's scripts. They are plain modules of the
# runtime, in lib-3 and in the folders of the cases; nothing has to be compiled, so
# this only checks that the runtime can read each of them.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 12/*.mjs 13/*.mjs 14/*.mjs 15/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
