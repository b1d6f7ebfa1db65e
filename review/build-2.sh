#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the gateway: their stand-ins
# are plain modules, so that it is enough to check that each of them can be loaded.
cd "$(dirname "$0")" || exit 1
for file in *_2.mjs [6-9]/run.mjs; do
  if [ -f "$file" ]; then
    node --check "$file" || exit 1
  fi
done
