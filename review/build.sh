#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript of Node.js, without
# dependencies: there is nothing to compile. This checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
