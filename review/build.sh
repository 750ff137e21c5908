#!/bin/sh
# The cases start the programs in target/ and stand-ins of their own, which are
# plain scripts for Node: there is nothing to compile. The syntax is checked.
cd "$(dirname "$0")" || exit 2
for script in lib/*.mjs [1-5]/*.mjs; do
  node --check "$script" || exit 2
done
