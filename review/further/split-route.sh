#!/usr/bin/env bash
# Rule BUDGET: "A request that crashes the servers that run it reaches servers in more than three retries, sent by machines in
# touch later than `contact_ms` after it has crashed the third." The disruptions: "A request may crash each server that begins
# to run it; the server is back after some seconds. Such a request comes again, with the same path, caller and body, at any
# machine." and "Versions move routes to other services, split routes [...]". A retry is counted once, however many servers it reaches.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f daemon/target/plantainturn.jar ] && [ -f review/target/lab/SplitRoute.class ] || { echo "build first"; exit 2; }
timeout 115 java -Xmx1g -cp review/target/lab SplitRoute review/further/record-split-route.txt
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
