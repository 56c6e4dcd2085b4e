import java.util.ArrayList;
import java.util.List;

/**
 * The platform starts two relays and their settings change just then, which SIGHUP tells them. A process that ends is
 * started again, as the platform does. SIGHUP must not end it.
 */
final class SignalAtStart {
    private static final int STARTS = 4;
    private static final int SIGHUP_AFTER = 300;
    private static final int RESTART_AFTER = 500;

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> new SignalAtStart().run());
    }

    private int run() throws Exception {
        Store store = new Store();
        new Upstream(store, "i-a", "ledger", "zone-a", (server, connection, request) ->
            server.answer(connection, request, 200, "", new byte[0]));
        Setup.configure(store, 1, List.of(Setup.route("/post/", "non_idempotent", 1_500, 150, 1, "ledger", "")),
            List.of(Setup.service("ledger")));
        List<Rig.Relay> relays = List.of(Rig.relay("relay-0", "zone-a", store.address()),
            Rig.relay("relay-1", "zone-a", store.address()));
        List<Integer> ends = new ArrayList<>(List.of(0, 0));
        for (int start = 0; start < STARTS; start++) {
            for (Rig.Relay relay : relays) if (!relay.isRunning()) relay.start();
            Rig.sleep(SIGHUP_AFTER);
            if (Rig.TROUBLE) for (Rig.Relay relay : relays) hangUp(relay);
            Rig.sleep(4_000);
            for (int index = 0; index < relays.size(); index++) {
                if (relays.get(index).isRunning()) continue;
                ends.set(index, ends.get(index) + 1);
                Rig.note(relays.get(index).name + " has ended by itself with exit status " + relays.get(index).exitStatus());
            }
            Rig.sleep(RESTART_AFTER);
        }
        for (Rig.Relay relay : relays) if (!relay.isRunning()) relay.start();
        Rig.awaitReady(relays);
        Rig.note("ends of processes by themselves, by relay: " + ends);
        return ends.get(0) >= 3 && ends.get(1) >= 3 ? Rig.BROKEN : Rig.HELD;
    }

    private static void hangUp(Rig.Relay relay) throws Exception {
        if (!relay.isRunning()) return;
        Rig.note("SIGHUP to " + relay.name + ", ready: " + relay.isReady());
        new ProcessBuilder("kill", "-HUP", String.valueOf(relay.pid())).inheritIO().start().waitFor();
    }
}
