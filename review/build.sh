#!/usr/bin/env bash
# Makes the file that deploy/system.toml runs, if it is missing or older than the sources. The stand-ins need no build.
set -eu
cd "$(dirname "$0")/.."
bundle=target/daledoor.mjs
if [ ! -f "$bundle" ] || [ -n "$(find src platform deploy package-lock.json -newer "$bundle" -type f -print -quit)" ]; then
  node deploy/bundle.mjs
fi
