#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the deployed
# programs. Their stand-ins are plain modules for Node.js, so it only checks
# that these can be read.
set -e
cd "$(dirname "$0")"
for file in lib2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
