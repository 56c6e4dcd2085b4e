#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
case="$(basename "$(dirname "${BASH_SOURCE[0]}")")"
[ -f "$root/daemon/target/plantainturn.jar" ] && [ -f "$root/review/rig-3/target/Case$case.class" ] ||
  { echo "build first"; exit 2; }
rm -f "$root/review/$case/record.txt"
timeout 118 java -Xmx256m -Drig.root="$root" -cp "$root/review/rig-3/target" "Case$case"
status=$?
# A failure of Java itself also ends with 1.
[ "$status" -ne 1 ] || grep -q 'verdict: status=1' "$root/review/$case/record.txt" || status=2
[ "$status" -le 2 ] || status=2
exit "$status"
