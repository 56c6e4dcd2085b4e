#!/usr/bin/env bash
# Rule DRAIN: "A request that a client sent later than `drain_ms` after a machine had passed on an answer with `Server-Leaving`
# reaches that server from that machine, in touch or not. A restart or a freeze of the machine since then excuses it." The
# disruptions: `node_cut` (5.5 s on the site, 5.4 s here), "A server may start again under the `id` that it had", and "Some servers
# never report `draining`: their entry is removed, and they continue serving for the same time" ("at times many seconds").
# It exits with 2 if the relay sends the server nothing between its restart and the end of the cut.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f daemon/target/plantainturn.jar ] && [ -f review/target/lab/DepartureDuringCut.class ] || { echo "build first"; exit 2; }
timeout 115 java -Xmx1g -cp review/target/lab DepartureDuringCut review/further/record-departure.txt
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
