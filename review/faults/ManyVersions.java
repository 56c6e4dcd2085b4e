import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The relays stand still for a few seconds, in which the operator writes a series of large configurations. The last one
 * moves a route to another service. Afterwards the relays must follow it.
 */
final class ManyVersions {
    private static final int VERSIONS = 20;
    private static final int VERSION_PAUSE = 80;
    private static final int ROUTES = 1_400;
    private static final int STILL = 3_500;

    /** Bounds of the platform: until when a change applies, and from when a machine is in touch again. */
    private static final int CONFIG_APPLY = 2_000;
    private static final int CONTACT = 3_000;

    private final AtomicInteger byOld = new AtomicInteger();
    private final AtomicInteger byNew = new AtomicInteger();
    private volatile boolean judged;

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> new ManyVersions().run());
    }

    private int run() throws Exception {
        Store store = new Store();
        new Upstream(store, "i-a", "ledger", "zone-a", (server, connection, request) -> serve(server, connection, request, byOld));
        new Upstream(store, "i-b", "ledger-next", "zone-a", (server, connection, request) -> serve(server, connection, request, byNew));
        configure(store, 1);
        List<Rig.Relay> relays = Setup.relays(store, 2);
        if (Rig.TROUBLE) for (Rig.Relay relay : relays) signal(relay, "STOP");
        double still = Rig.seconds();
        for (int version = 2; version <= VERSIONS + 1; version++) {
            configure(store, version);
            Rig.sleep(VERSION_PAUSE);
        }
        Rig.note("the operator has written " + VERSIONS + " versions, each of "
            + store.newest("keyed.op", "config").length() + " bytes; the last one moves the route to ledger-next");
        double left = STILL / 1_000.0 - (Rig.seconds() - still);
        Rig.sleep(Math.max(0, (long) (left * 1_000)));
        if (Rig.TROUBLE) for (Rig.Relay relay : relays) signal(relay, "CONT");
        Rig.sleep(CONTACT + CONFIG_APPLY);
        judged = true;
        List<String> results = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            Rig.Relay relay = relays.get(number % relays.size());
            try (Http client = Http.connect(relay.callers, 1_000)) {
                Http.Message answer = client.call("GET", Setup.HOST, "/stock/" + number, "a" + number, "", new byte[0], 1_000, 2_000);
                results.add(answer == null ? "closed" : answer.status() + " " + answer.header("Server-Stamp"));
            } catch (IOException exception) {
                results.add(exception.toString());
            }
            Rig.sleep(300);
        }
        Rig.note("answers " + results);
        Rig.note("requests sent later than " + (CONTACT + CONFIG_APPLY) + " ms after the relays run again: run by the old service "
            + byOld + ", by the new one " + byNew);
        if (byOld.get() + byNew.get() == 0) return Rig.COULD_NOT_RUN;
        return byOld.get() == 0 ? Rig.HELD : Rig.BROKEN;
    }

    private void serve(Upstream server, Http connection, Http.Message request, AtomicInteger runs) throws IOException {
        if (judged) runs.incrementAndGet();
        server.answer(connection, request, 200, "", new byte[20]);
    }

    private static void configure(Store store, int version) {
        List<String> routes = new ArrayList<>();
        String service = version > VERSIONS ? "ledger-next" : "ledger";
        routes.add(Setup.route("/stock/", "idempotent", 1_000, 100, 2, service, ""));
        for (int number = 0; number < ROUTES; number++) {
            routes.add(Setup.route("/site" + number + "/", "idempotent", 1_000 + version, 100, 2, "ledger", ""));
        }
        Setup.configure(store, version, routes, List.of(Setup.service("ledger"), Setup.service("ledger-next")));
    }

    private static void signal(Rig.Relay relay, String signal) throws Exception {
        Rig.note("SIG" + signal + " to " + relay.name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(relay.pid())).inheritIO().start().waitFor();
    }
}
