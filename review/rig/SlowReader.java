import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with a slow link ask sound servers for long answers, each on a channel that it keeps. At most three of these
 * channels may be closed without an answer (rule LOST).
 */
public final class SlowReader {
    private static final int SERVERS = 3;
    private static final int CLIENTS = 8;
    private static final int ANSWER_BYTES = number("ANSWER_BYTES", 8_000_000);
    private static final int BYTES_PER_SECOND = number("BYTES_PER_SECOND", 1_000_000);
    private static final int WINDOW_BYTES = 65_536;
    private static final int STEP_MILLISECONDS = 20;
    private static final int TIME_LIMIT_MILLISECONDS = 15_000;
    private static final int ALLOWED_CLOSES = 3;

    private static final String CONFIGURATION = """
        {"version": 3, "routes": [{"name": "manifest", "host": "desk.example", "path_prefix": "/manifest/",
          "route_kind": "idempotent", "timeout_ms": 15000, "goal_ms": 121, "priority": 1, "service": "manifests",
          "max_attempts": 2}],
         "services": [{"name": "manifests", "health_path": "/healthz", "max_conns": 110}],
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}}
        """;

    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger CLOSED = new AtomicInteger();

    private SlowReader() {}

    private static int number(String name, int otherwise) {
        return System.getenv(name) == null ? otherwise : Integer.parseInt(System.getenv(name));
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, SlowReader::run);
    }

    private static int run() throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIGURATION);
        for (int number = 1; number <= SERVERS; number++) {
            new Upstream(store, "i-manifest" + number, "manifests", "hakata", SlowReader::serve);
        }
        Rig.Relay relay = Rig.relay("edge-hakata-1", "hakata", store.address());
        relay.start();
        Rig.awaitReady(List.of(relay));
        Rig.sleep(4_000);
        CountDownLatch ends = new CountDownLatch(CLIENTS);
        List<Integer> numbers = new ArrayList<>();
        for (int client = 1; client <= CLIENTS; client++) {
            int number = client;
            Rig.daemonThread(() -> {
                ask(relay, number);
                ends.countDown();
            }).start();
            Rig.sleep(250);
        }
        ends.await();
        Rig.note("long answers: " + WHOLE + " whole, " + CLOSED + " channels closed before the end");
        if (WHOLE.get() + CLOSED.get() < CLIENTS) return Rig.COULD_NOT_RUN;
        return CLOSED.get() > ALLOWED_CLOSES ? Rig.BROKEN : Rig.HELD;
    }

    private static void serve(Upstream server, Http connection, Http.Message request) throws IOException {
        byte[] body = new byte[request.path().endsWith("/long") ? ANSWER_BYTES : 800];
        server.answer(connection, request, 200, "", body);
        Rig.note(server.name + " has answered " + request.header("Attempt-Id") + " with " + body.length + " bytes");
    }

    /** Asks for a short answer, and then for a long one on the same channel. */
    private static void ask(Rig.Relay relay, int number) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(WINDOW_BYTES);
            String[] address = relay.callers.split(":");
            socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])), 1_000);
            socket.setSoTimeout(TIME_LIMIT_MILLISECONDS);
            Http connection = new Http(socket);
            String identifier = "a-" + number;
            connection.call("GET", "desk.example", "/manifest/" + number + "/short", identifier + "-short", "", new byte[0],
                TIME_LIMIT_MILLISECONDS);
            connection.write("GET /manifest/" + number + "/long HTTP/1.1\nHost: desk.example\nAttempt-Id: " + identifier
                + "-long\nDeadline-Ms: " + TIME_LIMIT_MILLISECONDS + "\n\n", new byte[0]);
            int read = readSlowly(socket.getInputStream());
            boolean whole = read >= ANSWER_BYTES;
            (whole ? WHOLE : CLOSED).incrementAndGet();
            Rig.note(identifier + "-long at " + relay.name + ": " + read + " bytes, "
                + (whole ? "whole" : "then the channel was closed"));
        } catch (IOException exception) {
            CLOSED.incrementAndGet();
            Rig.note("a-" + number + " at " + relay.name + ": " + exception.getMessage());
        }
    }

    /** Reads head and body at the speed of the link, or at full speed without the disruption. */
    private static int readSlowly(InputStream input) throws IOException {
        byte[] buffer = new byte[BYTES_PER_SECOND / 1_000 * STEP_MILLISECONDS];
        int total = 0;
        while (total < ANSWER_BYTES) {
            int count = input.read(buffer);
            if (count < 0) break;
            total += count;
            if (Rig.TROUBLE) Rig.sleep(count * 1_000L / BYTES_PER_SECOND);
        }
        return total;
    }
}
