#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start: the stand-ins, callers and judges in review/rig-2. They need a
# JDK 17 only. The relays come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/rig-2"
rm -rf target
javac -d target ./*.java
