#!/bin/sh
# Builds every stand-in that the scripts of this review start. They are plain JavaScript in stand-ins-2/ and use only
# the packages of the project, so this checks that the build of the deploy file has left what they need.
cd "$(dirname "$0")/.." || exit 2
[ -f target/micaworks.mjs ] || { echo 'run the build of deploy/service.toml first' >&2; exit 1; }
for file in review/stand-ins-2/*.js review/[4-8]/case.js; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
