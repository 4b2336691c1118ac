#!/bin/sh
# The stand-ins that the scripts start are plain JavaScript under review/lib; nothing is compiled. This checks that they parse.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs */case.mjs; do node --check "$file" || exit 1; done
test -f ../target/program.cjs || { echo 'build the program first: node scripts/bundle.mjs' >&2; exit 1; }
