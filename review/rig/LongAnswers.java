import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The servers of a route that was added later give long answers that have no length and end with their channel. The
 * route has to be served a quarter as often as the first one at least (rule CONFIG).
 */
public final class LongAnswers {
    private static final int RELAYS = 2;
    private static final int SERVERS = 3;
    private static final int WORK_MILLISECONDS = 21;
    private static final int LONG_BYTES = 300_000;
    private static final int TIME_LIMIT_MILLISECONDS = 5_000;
    private static final int REQUESTS = 60;
    private static final int PAUSE_MILLISECONDS = 250;
    private static final double LEAST_SHARE = 0.25;

    private static final String FIRST_ROUTE = """
        {"name": "record", "host": "desk.example", "path_prefix": "/record/", "route_kind": "idempotent",
         "timeout_ms": 5000, "goal_ms": 600, "priority": 1, "service": "records", "max_attempts": 2}""";
    private static final String LATER_ROUTE = """
        {"name": "report", "host": "desk.example", "path_prefix": "/report/", "route_kind": "idempotent",
         "timeout_ms": 5000, "goal_ms": 600, "priority": 1, "service": "reports", "max_attempts": 2}""";
    private static final String REST = """
        "services": [{"name": "records", "health_path": "/healthz", "max_conns": 110},
          {"name": "reports", "health_path": "/healthz", "max_conns": 110}],
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}}""";

    private static final AtomicInteger RUNS = new AtomicInteger();

    private LongAnswers() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, LongAnswers::run);
    }

    private static int run() throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", "{\"version\": 3, \"routes\": [" + FIRST_ROUTE + "], " + REST);
        for (String service : List.of("records", "reports")) {
            for (int number = 1; number <= SERVERS; number++) {
                new Upstream(store, "i-" + service + number, service, "hakata", LongAnswers::serve);
            }
        }
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 1; number <= RELAYS; number++) {
            relays.add(Rig.relay("edge-hakata-" + number, "hakata", store.address()));
        }
        for (Rig.Relay relay : relays) relay.start();
        Rig.awaitReady(relays);
        store.put("keyed.op", "config", "{\"version\": 7, \"routes\": [" + FIRST_ROUTE + ", " + LATER_ROUTE + "], " + REST);
        Rig.sleep(6_000);
        AtomicInteger first = new AtomicInteger();
        AtomicInteger later = new AtomicInteger();
        for (int number = 1; number <= REQUESTS; number++) {
            Rig.Relay relay = relays.get(number % relays.size());
            int own = number;
            Rig.daemonThread(() -> ask(relay, "a-" + own, "/record/" + own, 800, first)).start();
            Rig.daemonThread(() -> ask(relay, "b-" + own, "/report/" + own, LONG_BYTES, later)).start();
            Rig.sleep(PAUSE_MILLISECONDS);
        }
        Rig.sleep(TIME_LIMIT_MILLISECONDS);
        Rig.note("served of " + REQUESTS + " on each route: first route " + first + ", later route " + later
            + "; requests on the later route that servers ran and answered whole: " + RUNS);
        if (first.get() < REQUESTS / 2) return Rig.COULD_NOT_RUN;
        return later.get() < LEAST_SHARE * first.get() ? Rig.BROKEN : Rig.HELD;
    }

    private static void serve(Upstream server, Http connection, Http.Message request) throws IOException {
        Rig.sleep(WORK_MILLISECONDS);
        boolean isLong = server.service.equals("reports");
        byte[] body = new byte[isLong ? LONG_BYTES : 800];
        if (!isLong || !Rig.TROUBLE) {
            server.answer(connection, request, 200, "", body);
        } else {
            connection.write("HTTP/1.1 200 Answer\nAttempt-Id: " + request.header("Attempt-Id") + "\nServer-Stamp: stamp-"
                + server.name + "\nConnection: close\n\n", body);
            connection.close();
        }
        if (isLong) RUNS.incrementAndGet();
        Rig.note(server.name + " has answered " + request.header("Attempt-Id") + " with " + body.length + " bytes");
    }

    private static void ask(Rig.Relay relay, String identifier, String path, int expected, AtomicInteger served) {
        String result;
        try (Http connection = Http.connect(relay.callers, 1_000)) {
            Http.Message answer = connection.call("GET", "desk.example", path, identifier, "", new byte[0],
                TIME_LIMIT_MILLISECONDS);
            boolean whole = answer != null && answer.status() == 200 && answer.body.length == expected;
            if (whole) served.incrementAndGet();
            result = answer == null ? "no answer"
                : answer.status() + " code " + answer.header("X-Result-Code") + ", " + answer.body.length + " bytes";
        } catch (IOException exception) {
            result = "" + exception.getMessage();
        }
        Rig.note(identifier + " GET " + path + " at " + relay.name + ": " + result);
    }
}
