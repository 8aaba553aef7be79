#!/usr/bin/env bash
# Builds what the cases start besides the build of the deploy file. The stand-ins of review/lib are plain JavaScript
# that uses msgpackr, a dependency of the project; no case starts a stand-in of packages/testkit. So there is nothing
# to compile: this checks that the stand-ins load and that the daemon was built.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/micaworks.mjs
node --input-type=module -e "await import('./review/lib/deployment.js'); await import('./review/lib/sites.js');"
