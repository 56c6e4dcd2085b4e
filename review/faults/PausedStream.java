import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A relay is stopped as planned while streams run through it. Their server makes a pause within them, shorter than
 * clients wait, and ends them in good time. All places of the other server are taken by
 * streams of other clients. No stream may be cut.
 */
final class PausedStream {
    private static final int STREAMS = 4;
    private static final int PLACES = 4;
    private static final int QUEUE = 2;

    /** Streams of other clients, which take all places and the queue of the second server. */
    private static final int OTHERS = PLACES + QUEUE;
    private static final int OTHER_EVENTS = 30;
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
        add(store, "i-b");
        Setup.configure(store, 1, List.of(
            Setup.route("/batch/", "streaming", TIME_LIMIT, 1_500, 2, "engine", ",\"resumable\":true,\"gap_goal_ms\":300"),
            Setup.route("/reply/", "streaming", TIME_LIMIT, 6_000, 1, "engine", ",\"resumable\":false,\"gap_goal_ms\":300")),
            List.of(Setup.service("engine")));
        List<Rig.Relay> relays = Setup.relays(store, 2);
        Rig.Relay relay = relays.get(0);
        for (int number = 0; number < OTHERS; number++) {
            String attempt = "b" + number;
            Rig.daemonThread(() -> read(relays.get(1), "/reply/x", attempt, new ArrayList<>(), new ArrayList<>())).start();
        }
        Rig.sleep(500);
        add(store, "i-a");
        Rig.sleep(1_500);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            String attempt = "a" + number;
            clients.add(Rig.daemonThread(() -> read(relay, "/batch/x", attempt, whole, cut)));
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

    private void add(Store store, String name) throws IOException {
        Places places = new Places();
        Upstream server = new Upstream(store, name, "engine", "zone-a", (self, connection, request) -> {
            if (!places.take()) {
                refused.incrementAndGet();
                Rig.note(request.header("Attempt-Id") + " is refused by " + self.name + ", which is full");
                connection.write("HTTP/1.1 503 Service Unavailable\nNot-Executed: 1\nAttempt-Id: "
                    + request.header("Attempt-Id") + "\nServer-Load: " + PLACES + "," + QUEUE + "," + PLACES
                    + "\nKeep-Alive: timeout=30\nContent-Length: 0\n\n", new byte[0]);
                return;
            }
            try {
                stream(self, connection, request);
            } finally {
                places.free();
            }
        });
        server.slots = PLACES;
        server.register();
    }

    /** The places of a server, and its queue. */
    private static final class Places {
        private int running;
        private int waiting;

        /** Takes a place, after a wait in the queue if there is room; returns false if there is none. */
        synchronized boolean take() throws InterruptedException {
            if (running >= PLACES) {
                if (waiting >= QUEUE) return false;
                waiting++;
                while (running >= PLACES) wait();
                waiting--;
            }
            running++;
            return true;
        }

        synchronized void free() {
            running--;
            notifyAll();
        }
    }

    private void stream(Upstream server, Http connection, Http.Message request) throws IOException {
        int events = request.path().startsWith("/batch/") ? EVENTS : OTHER_EVENTS;
        String attempt = request.header("Attempt-Id");
        connection.write("HTTP/1.1 200 OK\nAttempt-Id: " + attempt + "\nServer-Stamp: stamp-" + server.name
            + "\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", new byte[0]);
        String after = request.header("Last-Event-Id");
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= events; event++) {
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

    private void read(Rig.Relay relay, String path, String attempt, List<String> whole, List<String> cut) {
        int events = 0;
        double begun = Rig.seconds();
        try (Http client = Http.connect(relay.callers, 1_000)) {
            client.socket.setSoTimeout(TIME_LIMIT);
            client.write("POST " + path + " HTTP/1.1\nHost: " + Setup.HOST + "\nAttempt-Id: " + attempt + "\nDeadline-Ms: "
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
