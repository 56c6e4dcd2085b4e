import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Clients that are held up for a moment read their answers a little later. The server has long sent these whole when
 * the relay is stopped as planned. All of them must arrive whole, as they do without the stop: there is time for it.
 */
final class StopWhileReading {
    /** Clients whose answers are a little larger or smaller than those that just fit into all buffers. */
    private static final int CLIENTS = 24;
    private static final int STEP_BYTES = 2_000;

    private static final byte[] BLOCK = new byte[65_536];

    /** How long clients are held up after the head of the answer. */
    private static final int HELD_UP = 3_000;

    /** The platform's probes take a machine out two seconds after it has said that it is not ready. */
    private static final int SENT_AFTER_SIGTERM = 300;
    private static final int TIME_LIMIT = 15_000;

    private final List<String> cut = Collections.synchronizedList(new ArrayList<>());
    private final List<String> whole = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> new StopWhileReading().run());
    }

    private int run() throws Exception {
        Store store = new Store();
        for (String name : List.of("i-a", "i-b")) new Upstream(store, name, "ledger", "zone-a", this::serve);
        Setup.configure(store, 1, List.of(Setup.route("/post/", "non_idempotent", TIME_LIMIT, 1_000, 1, "ledger", "")),
            List.of(Setup.service("ledger")));
        String peers = "127.0.0.1:" + Rig.freePort();
        Rig.Relay relay = Rig.relay("relay-0", "zone-a", store.address(), peers, peers);
        List<Rig.Relay> relays = List.of(relay, Rig.relay("relay-1", "zone-a", store.address()));
        for (Rig.Relay each : relays) each.start();
        Rig.awaitReady(relays);
        Rig.sleep(3_000);
        int most = largestTakenOver(relay, peers);
        Rig.note("the relay takes over answers of up to " + most + " bytes while their clients do not read");
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            int size = most + (CLIENTS / 2 - number) * STEP_BYTES;
            clients.add(Rig.daemonThread(() -> post(relay, size, HELD_UP)));
        }
        if (Rig.TROUBLE) {
            Rig.note("SIGTERM to " + relay.name);
            Rig.daemonThread(() -> {
                relay.terminate();
                Rig.note(relay.name + " has ended");
            }).start();
        }
        Rig.sleep(SENT_AFTER_SIGTERM);
        for (Thread client : clients) client.start();
        for (Thread client : clients) client.join();
        Rig.note("answers that were whole " + whole.size() + ", cut " + cut.size() + " " + cut);
        if (whole.size() + cut.size() < CLIENTS) return Rig.COULD_NOT_RUN;
        return cut.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    /**
     * Returns the size of the largest answer that the relay has taken over from its server while the client reads
     * nothing. It depends on the buffers of a channel, which are not the same on all machines.
     */
    private int largestTakenOver(Rig.Relay relay, String peers) throws Exception {
        int least = 100_000;
        int most = 16_000_000;
        while (most - least > 10_000) {
            int size = (least + most) / 2;
            long before = ended(peers);
            Thread client = Rig.daemonThread(() -> post(relay, size, 600));
            client.start();
            Rig.sleep(500);
            boolean takenOver = ended(peers) > before;
            client.join();
            if (takenOver) least = size;
            else most = size;
        }
        whole.clear();
        cut.clear();
        return least;
    }

    /** Returns how many requests have ended for the relay. */
    private long ended(String peers) throws IOException {
        try (Http connection = Http.connect(peers, 500)) {
            Http.Message answer = connection.call("GET", peers, "/metrics", "m", "", new byte[0], 1_000);
            return new String(answer.body, StandardCharsets.UTF_8).lines()
                .filter(line -> line.startsWith("plantainturn_relay_requests_total{"))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1))).sum();
        }
    }

    private void serve(Upstream server, Http connection, Http.Message request) throws IOException {
        int size = Integer.parseInt(request.header("Attempt-Id").substring(1));
        connection.write("HTTP/1.1 200 OK\nAttempt-Id: " + request.header("Attempt-Id") + "\nServer-Stamp: stamp-"
            + server.name + "\nKeep-Alive: timeout=30\nContent-Length: " + size + "\n\n", new byte[0]);
        for (int left = size; left > 0; left -= BLOCK.length) {
            connection.socket.getOutputStream().write(BLOCK, 0, Math.min(BLOCK.length, left));
        }
        Rig.note(request.header("Attempt-Id") + " has run at " + server.name + ", which has sent the whole answer");
    }

    /** Sends a request on a channel that is kept, and reads its answer, the body after a while. */
    private void post(Rig.Relay relay, int size, int heldUp) {
        String attempt = "a" + size;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16_384);
            socket.setSoTimeout(TIME_LIMIT);
            String[] address = relay.callers.split(":");
            socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])), 1_000);
            byte[] body = "refund".getBytes(StandardCharsets.UTF_8);
            String head = "POST /post/x HTTP/1.1\r\nHost: " + Setup.HOST + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + TIME_LIMIT + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            double sent = Rig.seconds();
            int got = read(socket.getInputStream(), size, heldUp);
            String line = attempt + " got " + got + " bytes of " + size + " in "
                + Math.round((Rig.seconds() - sent) * 10) / 10.0 + " s";
            Rig.note(line);
            (got >= size ? whole : cut).add(line);
        } catch (IOException exception) {
            Rig.note(attempt + " " + exception);
            cut.add(attempt + " " + exception);
        }
    }

    /** Returns the bytes of the body that came before the end of the answer or of the channel. */
    private int read(InputStream input, int size, int heldUp) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) return 0;
            head.append((char) next);
        }
        if (!head.toString().startsWith("HTTP/1.1 200")) throw new IOException("answered " + head.substring(0, 12));
        Rig.sleep(heldUp);
        byte[] buffer = new byte[BLOCK.length];
        int got = 0;
        try {
            for (int count = 0; count >= 0 && got < size; count = input.read(buffer, 0, Math.min(buffer.length, size - got))) {
                got += count;
            }
        } catch (IOException exception) {
            Rig.note("after " + got + " bytes " + exception);
        }
        return got;
    }
}
