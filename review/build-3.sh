#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into review/rig-3/target. Needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/rig-3"
mkdir -p target
javac --release 17 -d target src/*.java
