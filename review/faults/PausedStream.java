import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A relay is stopped as planned while streams run through it. Their server makes a pause within them, shorter than
 * clients wait, and ends them in good time. The other server is full by then. No stream may be cut.
 */
final class PausedStream {
    private static final int STREAMS = 8;
    private static final int EVENTS = 10;
    private static final int EVENT_PAUSE = 400;
    private static final int PAUSE = 2_000;
    private static final int TIME_LIMIT = 15_000;

    private final List<String> cut = Collections.synchronizedList(new ArrayList<>());
    private final List<String> whole = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger refused = new AtomicInteger();

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> new PausedStream().run());
    }

    private int run() throws Exception {
        Store store = new Store();
        new Upstream(store, "i-a", "engine", "zone-a", this::stream);
        new Upstream(store, "i-b", "engine", "zone-a", this::streamUnlessFull);
        Setup.configure(store, 1, List.of(Setup.route("/batch/", "streaming", TIME_LIMIT, 1_500, 2, "engine",
            ",\"resumable\":true,\"gap_goal_ms\":300")), List.of(Setup.service("engine")));
        Rig.Relay relay = Setup.relays(store, 2).get(0);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            String attempt = "a" + number;
            clients.add(Rig.daemonThread(() -> read(relay, attempt)));
        }
        for (Thread client : clients) client.start();
        Rig.sleep(500);
        Rig.note("SIGTERM to " + relay.name);
        Rig.daemonThread(() -> {
            relay.terminate();
            Rig.note(relay.name + " has ended");
        }).start();
        for (Thread client : clients) client.join();
        Rig.note("streams that were whole " + whole.size() + ", cut " + cut.size() + " " + cut
            + ", requests that the full server refused " + refused);
        if (whole.size() + cut.size() < STREAMS) return Rig.COULD_NOT_RUN;
        return cut.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    /** Its places are taken by the time that a stream is sent on to it. */
    private void streamUnlessFull(Upstream server, Http connection, Http.Message request) throws IOException {
        if (request.header("Last-Event-Id") == null) {
            stream(server, connection, request);
            return;
        }
        refused.incrementAndGet();
        connection.write("HTTP/1.1 503 Service Unavailable\nNot-Executed: 1\nAttempt-Id: " + request.header("Attempt-Id")
            + "\nServer-Load: 64,20,64\nKeep-Alive: timeout=30\nContent-Length: 0\n\n", new byte[0]);
    }

    private void stream(Upstream server, Http connection, Http.Message request) throws IOException {
        String attempt = request.header("Attempt-Id");
        connection.write("HTTP/1.1 200 OK\nAttempt-Id: " + attempt + "\nServer-Stamp: stamp-" + server.name
            + "\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", new byte[0]);
        for (int event = 1; event <= EVENTS; event++) {
            if (event == EVENTS - 1 && Rig.TROUBLE && server.name.equals("i-a")) Rig.sleep(PAUSE);
            byte[] text = ("id: " + event + "\ndata: piece " + event + " of " + attempt + "\n\n").getBytes();
            connection.write(Integer.toHexString(text.length) + "\n", new byte[0]);
            connection.socket.getOutputStream().write(text);
            connection.write("\n", new byte[0]);
            Rig.sleep(EVENT_PAUSE);
        }
        connection.write("0\n\n", new byte[0]);
        Rig.note(attempt + " has ended at " + server.name);
    }

    private void read(Rig.Relay relay, String attempt) {
        int events = 0;
        double begun = Rig.seconds();
        try (Http client = Http.connect(relay.callers, 1_000)) {
            client.socket.setSoTimeout(TIME_LIMIT);
            client.write("POST /batch/x HTTP/1.1\nHost: " + Setup.HOST + "\nAttempt-Id: " + attempt + "\nDeadline-Ms: "
                + TIME_LIMIT + "\nContent-Length: 5\n\n", "batch".getBytes());
            Http.Message head = client.readHead();
            if (head == null || head.status() != 200) throw new IOException("answered " + (head == null ? "nothing" : head.firstLine));
            for (String chunk = client.readChunk(); chunk != null; chunk = client.readChunk()) {
                events += chunk.split("id: ", -1).length - 1;
            }
            Rig.note(attempt + " is whole, " + events + " events");
            whole.add(attempt);
        } catch (IOException exception) {
            String line = attempt + " after " + events + " of " + EVENTS + " events and "
                + Math.round((Rig.seconds() - begun) * 10) / 10.0 + " s: " + exception.getMessage();
            Rig.note(line);
            cut.add(line);
        }
    }
}
