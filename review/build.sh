#!/bin/sh
# The stand-ins of the cases are plain ES modules in review: nothing is
# compiled. Checks that they parse and that the deploy file's build has run.
set -eu
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do
  node --check "$file"
done
if [ ! -f ../target/gateway.mjs ]; then
  echo "run the build of deploy/system.toml first" >&2
  exit 2
fi
