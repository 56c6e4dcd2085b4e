import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that is full refuses a request. A moment later it sends the refusal a second time on that channel, and the
 * copy breaks off in its head. The next request on the channel must not run twice.
 */
final class CutCopy {
    private static final int REQUESTS = 100;
    private static final int CLIENTS = 6;
    private static final int FULL_EVERY = 40;

    /** How long the server sends copies, of one in forty of its answers. */
    private static final int TROUBLE_SECONDS = 5;

    /** With COPY=success the server fails now and then, and sends the copy of an earlier success. */
    private static final boolean OF_SUCCESS = "success".equals(System.getenv("COPY"));

    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Set<String> failed = ConcurrentHashMap.newKeySet();
    private final List<String> falseSuccesses = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger arrivals = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile double troubleUntil;
    private final AtomicInteger copies = new AtomicInteger();

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> new CutCopy().run());
    }

    /** Posts refunds one after the other, each on a channel of its own. */
    private void post(Rig.Relay relay, int from) {
        for (int number = from; number < from + REQUESTS; number++) {
            String attempt = "a" + number + "-" + Long.toHexString(System.nanoTime());
            byte[] body = ("refund " + number).getBytes(StandardCharsets.UTF_8);
            String result;
            try (Http client = Http.connect(relay.callers, 1_000)) {
                Http.Message answer = client.call("POST", Setup.HOST, "/post/" + number, attempt, "", body, 1_500, 2_500);
                result = answer == null ? "closed" : String.valueOf(answer.status());
                if ("200".equals(result)) answered.incrementAndGet();
                if ("200".equals(result) && failed.contains(attempt)) falseSuccesses.add(attempt);
            } catch (IOException exception) {
                result = exception.toString();
            }
            Rig.note("request " + attempt + " answered " + result + " runs " + runs.getOrDefault(attempt, List.of()));
            Rig.sleep(10);
        }
    }

    private int run() throws Exception {
        Store store = new Store();
        Upstream faulty = new Upstream(store, "i-a", "ledger", "zone-a", this::serveFaulty);
        Upstream sound = new Upstream(store, "i-b", "ledger", "zone-a", this::serve);
        Setup.configure(store, 1, List.of(Setup.route("/post/", "non_idempotent", 1_500, 150, 2, "ledger", "")),
            List.of(Setup.service("ledger")));
        Rig.Relay relay = Setup.relays(store, 2).get(0);
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            int from = client * REQUESTS;
            clients.add(Rig.daemonThread(() -> post(relay, from)));
        }
        troubleUntil = Rig.seconds() + TROUBLE_SECONDS;
        for (Thread client : clients) client.start();
        for (Thread client : clients) client.join();
        List<String> twice = new ArrayList<>();
        runs.forEach((attempt, servers) -> {
            if (servers.size() > 1) twice.add(attempt + " " + servers);
        });
        Rig.note("requests " + REQUESTS * CLIENTS + ", answered 200: " + answered + ", arrivals at the server in trouble "
            + arrivals + ", cut copies " + copies + ", requests that ran twice " + twice.size() + " " + twice);
        Rig.note("requests that their server answered 500 and their client got as 200: " + falseSuccesses);
        if (answered.get() < REQUESTS || arrivals.get() < FULL_EVERY * 2) return Rig.COULD_NOT_RUN;
        return twice.isEmpty() && falseSuccesses.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    private void serve(Upstream server, Http connection, Http.Message request) throws IOException {
        runs.computeIfAbsent(request.header("Attempt-Id"), unused -> Collections.synchronizedList(new ArrayList<>())).add(server.name);
        // Servers of one service differ in speed.
        Rig.sleep(server.name.equals("i-a") ? 20 : 40);
        server.answer(connection, request, 200, "", ("posted by " + server.name).getBytes(StandardCharsets.UTF_8));
    }

    private void serveFaulty(Upstream server, Http connection, Http.Message request) throws IOException {
        if (OF_SUCCESS) {
            failNowAndThen(server, connection, request);
            return;
        }
        if (arrivals.incrementAndGet() % FULL_EVERY != 0) {
            serve(server, connection, request);
            return;
        }
        String status = "HTTP/1.1 503 Service Unavailable\nNot-Executed: 1";
        connection.write(status + "\nAttempt-Id: " + request.header("Attempt-Id") + "\nServer-Load: 64,10,64\n"
            + "Keep-Alive: timeout=30\nContent-Length: 0\n\n", new byte[0]);
        sendCopy(connection, status);
    }

    /** Runs each request; two of five fail. */
    private void failNowAndThen(Upstream server, Http connection, Http.Message request) throws IOException {
        String attempt = request.header("Attempt-Id");
        int number = arrivals.incrementAndGet();
        if (number % 5 == 2 || number % 5 == 4) {
            failed.add(attempt);
            server.answer(connection, request, 500, "", "not posted".getBytes(StandardCharsets.UTF_8));
            return;
        }
        String copy = "HTTP/1.1 200 OK\nDate: Sun, 06 Dec";
        connection.write(copy + " 2026 05:00:00 GMT\nAttempt-Id: " + attempt + "\nServer-Stamp: stamp-" + server.name
            + "\nKeep-Alive: timeout=30\nContent-Length: 6\n\n", "posted".getBytes(StandardCharsets.UTF_8));
        if (number % FULL_EVERY == 1) sendCopy(connection, copy);
    }

    private void sendCopy(Http connection, String cutHead) throws IOException {
        if (!Rig.TROUBLE || Rig.seconds() > troubleUntil) return;
        Rig.sleep(10);
        connection.write(cutHead, new byte[0]);
        copies.incrementAndGet();
    }
}
