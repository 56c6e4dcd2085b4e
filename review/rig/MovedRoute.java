import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each server that begins to run it, and comes again and again. The operator moves its route to
 * another service twice. From contact_ms after the third crash on, three requests may reach servers (rule BUDGET).
 */
public final class MovedRoute {
    private static final int RELAYS = 2;
    private static final int SERVERS = 3;
    private static final int WORK_MILLISECONDS = 21;
    private static final int RESTART_MILLISECONDS = 3_000;
    private static final int CONTACT_MILLISECONDS = 3_000;
    private static final int ALLOWED_REQUESTS = 3;
    private static final int BETWEEN_VERSIONS_MILLISECONDS = 12_000;
    private static final List<String> SERVICES = List.of("stock-a", "stock-b", "stock-c");

    private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
    /** The first moment at which each client attempt with the fatal request reached a server. */
    private static final Map<String, Double> ATTEMPTS = new ConcurrentHashMap<>();
    private static final AtomicInteger NUMBERS = new AtomicInteger();
    private static final AtomicInteger SOUND_REQUESTS = new AtomicInteger();
    private static final AtomicInteger SOUND_SERVED = new AtomicInteger();
    private static volatile boolean ended;

    private MovedRoute() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, MovedRoute::run);
    }

    private static int run() throws IOException {
        Store store = new Store();
        store.put("keyed.op", "config", configuration(3, SERVICES.get(0)));
        for (String service : SERVICES) {
            for (int number = 1; number <= SERVERS; number++) {
                new Upstream(store, "i-" + service + number, service, "hakata", MovedRoute::serve);
            }
        }
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 1; number <= RELAYS; number++) {
            relays.add(Rig.relay("edge-hakata-" + number, "hakata", store.address()));
        }
        for (Rig.Relay relay : relays) relay.start();
        Rig.awaitReady(relays);
        Rig.sleep(4_000);
        Rig.daemonThread(() -> send(relays, 200, false)).start();
        if (Rig.TROUBLE) Rig.daemonThread(() -> send(relays, 1_000, true)).start();
        for (int version = 1; version < SERVICES.size(); version++) {
            Rig.sleep(BETWEEN_VERSIONS_MILLISECONDS);
            store.put("keyed.op", "config", configuration(3 + 4 * version, SERVICES.get(version)));
            Rig.note("version " + (3 + 4 * version) + " moves the route to " + SERVICES.get(version));
        }
        Rig.sleep(BETWEEN_VERSIONS_MILLISECONDS);
        ended = true;
        Rig.note("sound requests: " + SOUND_SERVED + " of " + SOUND_REQUESTS + " served; crashes: " + CRASHES.size());
        if (SOUND_REQUESTS.get() < 20) return Rig.COULD_NOT_RUN;
        if (CRASHES.size() < 3) return Rig.HELD;
        double from = CRASHES.get(2) + CONTACT_MILLISECONDS / 1_000.0;
        long late = ATTEMPTS.values().stream().filter(at -> at > from).count();
        Rig.note("the third crash was at " + CRASHES.get(2) + "; " + late
            + " client attempts first reached servers later than " + from);
        return late > ALLOWED_REQUESTS ? Rig.BROKEN : Rig.HELD;
    }

    private static String configuration(int version, String service) {
        return """
            {"version": %d, "routes": [{"name": "stock", "host": "desk.example", "path_prefix": "/stock/",
              "route_kind": "idempotent", "timeout_ms": 1000, "goal_ms": 121, "priority": 1, "service": "%s",
              "max_attempts": 2}],
             "services": [{"name": "stock-a", "health_path": "/healthz", "max_conns": 110},
              {"name": "stock-b", "health_path": "/healthz", "max_conns": 110},
              {"name": "stock-c", "health_path": "/healthz", "max_conns": 110}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}}
            """.formatted(version, service);
    }

    private static void serve(Upstream server, Http connection, Http.Message request) throws IOException {
        if (request.path().equals("/stock/fatal")) {
            CRASHES.add(Rig.seconds());
            ATTEMPTS.putIfAbsent(request.header("Attempt-Id"), Rig.seconds());
            Rig.note(server.name + " crashes on " + request.header("Attempt-Id") + ", crash " + CRASHES.size());
            server.crash(RESTART_MILLISECONDS);
            return;
        }
        Rig.sleep(WORK_MILLISECONDS);
        server.answer(connection, request, 200, "", "kegs: 12".getBytes());
    }

    private static void send(List<Rig.Relay> relays, long pause, boolean fatal) {
        while (!ended) {
            int number = NUMBERS.incrementAndGet();
            Rig.Relay relay = relays.get(number % relays.size());
            Rig.daemonThread(() -> ask(relay, "a-" + number, fatal ? "/stock/fatal" : "/stock/" + number, fatal)).start();
            Rig.sleep(pause);
        }
    }

    private static void ask(Rig.Relay relay, String identifier, String path, boolean fatal) {
        if (!fatal) SOUND_REQUESTS.incrementAndGet();
        String result;
        try (Http connection = Http.connect(relay.callers, 1_000)) {
            Http.Message answer = connection.call("GET", "desk.example", path, identifier, "", new byte[0], 1_000);
            result = answer == null ? "no answer" : answer.status() + " code " + answer.header("X-Result-Code");
            if (!fatal && answer != null && answer.status() == 200) SOUND_SERVED.incrementAndGet();
        } catch (IOException exception) {
            result = "" + exception.getMessage();
        }
        Rig.note(identifier + " GET " + path + " at " + relay.name + ": " + result);
    }
}
