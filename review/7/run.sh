#!/usr/bin/env bash
# An order without an answer is carried out after its server has crashed and started again under its identifier.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
if [ ! -f ../rig-2/target/Rig.class ]; then
  echo "build first: review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx512m -cp ../rig-2/target LateOrder "$PWD"
