import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Servers are restarted one after the other with a newer version of their software, under the same ids, while the store
 * is down. At most two streams may hold events of two versions (rule ORDER).
 */
public final class MixedVersions {
    private static final int EVENTS = 40;
    private static final int EVENT_MILLISECONDS = 150;
    private static final int CLIENT_TIMEOUT_MILLISECONDS = 15_000;
    private static final int ALLOWED_STREAMS = 2;

    /** Clients abandon a stream after a gap of eight times the longest pause. */
    private static final int GAP_MILLISECONDS = 2_400;
    private static final double OUTAGE_FROM = 8;
    private static final double OUTAGE_SECONDS = 4.5;
    private static final double FIRST_RESTART_AT = 9;
    private static final double SECOND_RESTART_AT = 11.5;
    private static final long RESTART_MILLISECONDS = 1_000;
    private static final double TRAFFIC_SECONDS = 16;

    private static final String CONFIGURATION = """
        {"version": 2, "routes": [{"name": "reply", "host": "desk.example", "path_prefix": "/reply/",
          "route_kind": "streaming", "timeout_ms": 15000, "goal_ms": 400, "priority": 1, "service": "replies",
          "max_attempts": 2, "resumable": true, "gap_goal_ms": 300}],
         "services": [{"name": "replies", "health_path": "/healthz", "max_conns": 370}],
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}}
        """;

    private static final Map<String, Set<String>> VERSIONS = new ConcurrentHashMap<>();
    private static final Set<String> COMPLETE = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Rig.main(arguments, MixedVersions::run);
    }

    private static int run() throws IOException {
        Store store = new Store();
        new Upstream(store, "i-replies0", "replies", "hakata", "v2", MixedVersions::stream);
        Upstream first = new Upstream(store, "i-replies1", "replies", "hakata", "v1", MixedVersions::stream);
        Upstream second = new Upstream(store, "i-replies2", "replies", "hakata", "v1", MixedVersions::stream);
        store.put("keyed.op", "config", CONFIGURATION);
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            relays.add(Rig.relay("edge-hakata-" + number, "hakata", store.address()));
        }
        for (Rig.Relay relay : relays) relay.start();
        Rig.awaitReady(relays);
        Rig.sleep(4_000);
        double begun = Rig.seconds();
        if (Rig.TROUBLE) {
            at(begun + OUTAGE_FROM, () -> setSilent(store, true));
            at(begun + OUTAGE_FROM + OUTAGE_SECONDS, () -> setSilent(store, false));
        }
        at(begun + FIRST_RESTART_AT, () -> restart(first));
        at(begun + SECOND_RESTART_AT, () -> restart(second));
        List<Thread> clients = new ArrayList<>();
        for (int number = 1; Rig.seconds() - begun < TRAFFIC_SECONDS; number++) {
            String name = "stream-" + number;
            int offset = number;
            Thread client = Rig.daemonThread(() -> read(relays, offset, name));
            client.start();
            clients.add(client);
            Rig.sleep(120);
        }
        for (Thread client : clients) {
            try {
                client.join(CLIENT_TIMEOUT_MILLISECONDS + 2_000);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        return judge(clients.size());
    }

    private static void at(double seconds, Runnable action) {
        Rig.daemonThread(() -> {
            Rig.sleep((long) ((seconds - Rig.seconds()) * 1_000));
            action.run();
        }).start();
    }

    private static void setSilent(Store store, boolean silent) {
        store.silent = silent;
        Rig.note(silent ? "the store is silent" : "the store answers again");
    }

    private static void restart(Upstream server) {
        server.nextVersion = "v2";
        Rig.note(server.name + " of " + server.version + " is restarted as v2");
        server.crash(RESTART_MILLISECONDS);
    }

    private static void stream(Upstream server, Http connection, Http.Message request) throws IOException {
        String last = request.header("Last-Event-Id");
        int after = last == null ? 0 : Integer.parseInt(last);
        String version = server.version;
        Rig.note(request.header("Attempt-Id") + " runs at " + server.name + " of " + version + " after event " + after);
        connection.write("HTTP/1.1 200 OK\nAttempt-Id: " + request.header("Attempt-Id") + "\nServer-Stamp: stamp-"
            + server.name + "\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", new byte[0]);
        for (int number = after + 1; number <= EVENTS; number++) {
            Rig.sleep(EVENT_MILLISECONDS);
            String event = "id: " + number + "\ndata: " + version + "\n\n";
            connection.write(Integer.toHexString(event.length()) + "\n", (event + "\r\n").getBytes());
        }
        connection.write("0\n\n", new byte[0]);
    }

    /** Reads one stream; takes it up again once at another relay if it breaks off. */
    private static void read(List<Rig.Relay> relays, int offset, String name) {
        VERSIONS.put(name, new TreeSet<>());
        String last = null;
        String origin = null;
        long until = System.nanoTime() / 1_000_000 + CLIENT_TIMEOUT_MILLISECONDS;
        for (int tries = 0; tries < 2; tries++) {
            long left = until - System.nanoTime() / 1_000_000;
            long wait = 200;
            String attempt = name + "-" + tries;
            Rig.Relay relay = relays.get((offset + tries) % relays.size());
            String end;
            try (Http connection = Http.connect(relay.callers, 1_000)) {
                String resume = last == null ? "" : "Last-Event-Id: " + last + "\nResumes: " + origin + "\n";
                connection.socket.setSoTimeout((int) Math.max(1, Math.min(left, GAP_MILLISECONDS)));
                connection.write("POST /reply/" + name + " HTTP/1.1\nHost: desk.example\nAttempt-Id: " + attempt
                    + "\nDeadline-Ms: " + left + "\n" + resume + "Content-Length: 2\n\n",
                    "{}".getBytes());
                Http.Message head = connection.readHead();
                end = head == null ? "closed" : String.valueOf(head.status());
                String retryAfter = head == null ? null : head.header("Retry-After");
                if (retryAfter != null) wait = (long) Math.min(left / 3, Double.parseDouble(retryAfter) * 1_000);
                if (end.equals("200")) {
                    for (String event = connection.readChunk(); event != null; event = connection.readChunk()) {
                        for (String line : event.split("\n")) {
                            if (line.startsWith("id: ")) last = line.substring(4);
                            if (line.startsWith("data: ")) VERSIONS.get(name).add(line.substring(6));
                        }
                        if (origin == null) origin = attempt;
                    }
                    COMPLETE.add(name);
                    Rig.note(attempt + " at " + relay.name + " is complete: " + VERSIONS.get(name));
                    return;
                }
            } catch (IOException exception) {
                end = exception.getMessage();
            }
            Rig.note(attempt + " at " + relay.name + " ends after event " + last + ": " + end);
            Rig.sleep(wait);
        }
    }

    private static int judge(int streams) {
        long mixed = VERSIONS.values().stream().filter(versions -> versions.size() > 1).count();
        Rig.note("streams=" + streams + " complete=" + COMPLETE.size() + " mixed=" + mixed + " allowed=" + ALLOWED_STREAMS);
        if (COMPLETE.size() * 2 < streams) return Rig.COULD_NOT_RUN;
        return mixed > ALLOWED_STREAMS ? Rig.BROKEN : Rig.HELD;
    }
}
