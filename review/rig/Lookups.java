import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small deployment with two routes of lookups that may be repeated. Each lookup on the first one names a record of its
 * own; all lookups on the one that was added later ask for the same. Rule CONFIG: in steady state, the later one is
 * served a quarter as often as the first one at least.
 */
final class Lookups {
    private static final int RELAYS = 3;
    private static final int SERVERS = 3;
    private static final int WORK_MILLISECONDS = 21;
    private static final int TIME_LIMIT_MILLISECONDS = 1_000;
    private static final int CLIENTS = 36;
    private static final int FREQUENT_CLIENTS = 12;
    private static final int PERIOD_MILLISECONDS = 1_000;
    private static final int LONG_PERIODS = 5;
    private static final int LEAST_REQUESTS = 20;
    private static final double LEAST_SHARE = 0.25;
    private static final int CONTACT_MILLISECONDS = 3_000;
    private static final int ALLOWED_RETRIES = 3;

    /** The path of the fatal request. With OTHER_PATH=1 no sound request has it. */
    private static final String FATAL_PATH = System.getenv("OTHER_PATH") == null ? "/stock/kegs" : "/stock/other";

    private static final String FIRST_ROUTE = """
        {"name": "record", "host": "desk.example", "path_prefix": "/record/", "route_kind": "idempotent",
         "timeout_ms": 1000, "goal_ms": 121, "priority": 1, "service": "records", "max_attempts": 2}""";
    private static final String OTHER_HOST_ROUTE = """
        {"name": "stock-of-others", "host": "others.example", "path_prefix": "/stock/", "route_kind": "idempotent",
         "timeout_ms": 1000, "goal_ms": 121, "priority": 1, "service": "stock", "max_attempts": 2}""";
    private static final String LATER_ROUTE = """
        {"name": "stock", "host": "desk.example", "path_prefix": "/stock/", "route_kind": "idempotent",
         "timeout_ms": 1000, "goal_ms": 121, "priority": 1, "service": "stock", "max_attempts": 2}""";
    private static final String REST = """
        "services": [{"name": "records", "health_path": "/healthz", "max_conns": 110},
          {"name": "stock", "health_path": "/healthz", "max_conns": 110}],
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}}""";

    final List<Link> links = new ArrayList<>();
    final List<Rig.Relay> relays = new ArrayList<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final Tally first = new Tally();
    private final Tally later = new Tally();

    private final boolean linked;

    /** How many servers of the later route are to crash, each while it runs a request. */
    final AtomicInteger crashes = new AtomicInteger();

    /** When the fatal request reached a server, which then crashed. */
    private final List<Double> fatalAt = new CopyOnWriteArrayList<>();

    /** The first moment at which each client attempt with the fatal request reached a server. */
    private final Map<String, Double> fatalAttempts = new ConcurrentHashMap<>();
    private volatile boolean judged;
    private volatile boolean ended;

    /** [linked] tells whether there are links between the relays and the servers. */
    Lookups(boolean linked) {
        this.linked = linked;
    }

    /** The requests on one route while they are judged. */
    private static final class Tally {
        final AtomicInteger requests = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        double share() {
            return served.get() / (double) Math.max(1, requests.get());
        }

        @Override
        public String toString() {
            return served + " of " + requests + " served";
        }
    }

    /** Starts servers and relays, adds the later route, and begins to send. */
    void start() throws IOException {
        Store store = new Store();
        store.put("keyed.op", "config", "{\"version\": 3, \"routes\": [" + FIRST_ROUTE + ", " + OTHER_HOST_ROUTE + "], " + REST);
        for (String service : List.of("records", "stock")) {
            for (int number = 1; number <= SERVERS; number++) {
                Upstream server = new Upstream(store, "i-" + service + number, service, "hakata", this::serve);
                if (!linked) continue;
                Link link = new Link(server.port());
                server.advertisedPort = link.port();
                server.register();
                links.add(link);
            }
        }
        for (int number = 1; number <= RELAYS; number++) {
            relays.add(Rig.relay("edge-hakata-" + number, "hakata", store.address()));
        }
        for (Rig.Relay relay : relays) relay.start();
        Rig.awaitReady(relays);
        store.put("keyed.op", "config", "{\"version\": 7, \"routes\": [" + FIRST_ROUTE + ", " + OTHER_HOST_ROUTE + ", "
            + LATER_ROUTE + "], " + REST);
        Rig.note("the route /stock/ is added");
        Rig.sleep(3_000);
        send(first, () -> "/record/" + numbers.incrementAndGet());
        send(later, () -> "/stock/kegs");
    }

    /** Judges the requests of the next [seconds] and returns the exit status. */
    int judge(double seconds) {
        Rig.note("from here on requests are judged");
        judged = true;
        Rig.sleep((long) (seconds * 1_000));
        ended = true;
        Rig.note("first route: " + first + "; later route: " + later);
        if (first.requests.get() < LEAST_REQUESTS || first.share() < 0.5) return Rig.COULD_NOT_RUN;
        boolean broken = later.requests.get() >= LEAST_REQUESTS && later.share() < LEAST_SHARE * first.share();
        return broken ? Rig.BROKEN : Rig.HELD;
    }

    /** Judges by rule BUDGET how often the fatal request reached servers, and returns the exit status. */
    int judgeFatal() {
        ended = true;
        Rig.note("the fatal request reached servers " + fatalAt.size() + " times, in " + fatalAttempts.size()
            + " client attempts");
        if (fatalAt.size() < 3) return Rig.HELD;
        double from = fatalAt.get(2) + CONTACT_MILLISECONDS / 1_000.0;
        long late = fatalAttempts.values().stream().filter(at -> at > from).count();
        Rig.note("the third crash was at " + fatalAt.get(2) + "; " + late + " client attempts first reached servers later than "
            + from);
        return late > ALLOWED_RETRIES ? Rig.BROKEN : Rig.HELD;
    }

    private void serve(Upstream server, Http connection, Http.Message request) throws IOException {
        boolean fatal = request.header("Host").equals("others.example");
        if (fatal) {
            fatalAt.add(Rig.seconds());
            fatalAttempts.putIfAbsent(request.header("Attempt-Id"), Rig.seconds());
        }
        if (fatal || server.service.equals("stock") && crashes.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            Rig.note(server.name + " crashes while it runs " + request.header("Attempt-Id"));
            server.crash(3_000);
            return;
        }
        Rig.sleep(WORK_MILLISECONDS);
        Rig.note(server.name + " ran " + request.header("Attempt-Id") + " " + request.path());
        server.answer(connection, request, 200, "", "kegs: 12".getBytes());
    }

    private interface Path {
        String next();
    }

    /** Displays that are refreshed together, a third of them each second and the others every five seconds. */
    private void send(Tally tally, Path path) {
        Rig.daemonThread(() -> {
            for (int period = 0; !ended; period++) {
                int clients = period % LONG_PERIODS == 0 ? CLIENTS : FREQUENT_CLIENTS;
                for (int client = 0; client < clients; client++) {
                    String target = path.next();
                    Rig.daemonThread(() -> ask(tally, target)).start();
                }
                Rig.sleep(PERIOD_MILLISECONDS);
            }
        }).start();
    }

    /** Asks with one retry at another relay, after the time that the first one told. */
    private void ask(Tally tally, String path) {
        long until = System.nanoTime() + TIME_LIMIT_MILLISECONDS * 1_000_000L;
        int offset = ThreadLocalRandom.current().nextInt(relays.size());
        for (int attempt = 0; attempt < 2; attempt++) {
            int left = (int) ((until - System.nanoTime()) / 1_000_000);
            if (left <= 50) return;
            Rig.Relay relay = relays.get((offset + attempt) % relays.size());
            Http.Message answer = attempt(relay, tally, "desk.example", path, left);
            if (answer != null && answer.status() == 200) return;
            String wait = answer == null ? null : answer.header("Retry-After");
            if (wait != null) Rig.sleep((long) Math.min(Double.parseDouble(wait) * 1_000, left / 3.0));
        }
    }

    /** Sends a request on the route of another host again and again, which crashes each server that runs it. */
    void sendFatal(int times, long pauseMilliseconds) {
        for (int time = 0; time < times; time++) {
            Rig.Relay relay = relays.get(time % relays.size());
            Rig.daemonThread(() -> attempt(relay, new Tally(), "others.example", FATAL_PATH, TIME_LIMIT_MILLISECONDS))
                .start();
            Rig.sleep(pauseMilliseconds);
        }
    }

    private Http.Message attempt(Rig.Relay relay, Tally tally, String host, String path, int left) {
        String identifier = "a-" + numbers.incrementAndGet();
        boolean counts = judged && !ended;
        if (counts) tally.requests.incrementAndGet();
        try (Http connection = Http.connect(relay.callers, 1_000)) {
            Http.Message answer = connection.call("GET", host, path, identifier, "", new byte[0], left);
            boolean served = answer != null && answer.status() == 200 && answer.header("Server-Stamp") != null;
            if (counts && served) tally.served.incrementAndGet();
            Rig.note(identifier + " GET " + host + path + " at " + relay.name + ": "
                + (answer == null ? "no answer" : answer.status() + " code " + answer.header("X-Result-Code")));
            return answer;
        } catch (IOException exception) {
            Rig.note(identifier + " GET " + host + path + " at " + relay.name + ": " + exception.getMessage());
            return null;
        }
    }
}
