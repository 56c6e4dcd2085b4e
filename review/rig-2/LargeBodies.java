import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send bodies just below max_body_bytes; then a burst of them comes. Other callers ask for short lookups.
 */
final class LargeBodies {
    static final int BODY_BYTES = 4_000_000;
    static final double UPLOADS_PER_SECOND = 4.0;
    static final double BURST = 2.8;
    static final double BURST_FROM = 8.0;
    static final double BURST_FOR = 3.0;
    static final double LENGTH = 24.0;
    static final long UPLOAD_WORK = 3_500;
    static final double LOOKUPS_PER_SECOND = 10.0;
    static final double LOOKUP_TIMEOUT = 1.0;

    public static void main(String[] args) throws Exception {
        Rig.main(args, LargeBodies::run);
    }

    static boolean run(Rig rig) throws Exception {
        Rig.Server drafts = server(rig, "drafts", UPLOAD_WORK);
        Rig.Server ledger = server(rig, "ledger", 20);
        rig.store.put("keyed.servers", "i-1", entry("drafts", drafts));
        rig.store.put("keyed.servers", "i-2", entry("ledger", ledger));
        rig.store.put("keyed.op", "config", "{\"version\":7,\"routes\":["
            + "{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/drafts/\",\"route_kind\":\"non_idempotent\","
            + "\"timeout_ms\":15000,\"goal_ms\":6000,\"priority\":2,\"service\":\"drafts\",\"max_attempts\":1},"
            + "{\"name\":\"r-2\",\"host\":\"a.example\",\"path_prefix\":\"/stock/\",\"route_kind\":\"idempotent\","
            + "\"timeout_ms\":1000,\"goal_ms\":100,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1}],"
            + "\"services\":[{\"name\":\"drafts\",\"health_path\":\"/healthz\",\"max_conns\":370},"
            + "{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        Rig.Relay relay = rig.new Relay("relay-1");
        relay.awaitReady();

        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        List<Double> lookups = new CopyOnWriteArrayList<>();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new CopyOnWriteArrayList<>();
        double start = rig.seconds();
        double nextUpload = 0;
        double nextLookup = 0;
        int number = 0;
        for (double now = 0; now < LENGTH; now = rig.seconds() - start) {
            if (now >= nextUpload) {
                boolean burst = rig.trouble && now >= BURST_FROM && now < BURST_FROM + BURST_FOR;
                nextUpload += 1 / (UPLOADS_PER_SECOND * (burst ? BURST : 1));
                String id = "upload-" + number++;
                threads.add(begin(() -> {
                    String outcome;
                    try {
                        Rig.Message answer = call(relay, 16_000, "POST /drafts/1", id, 15_000, body);
                        served.incrementAndGet();
                        outcome = "status=" + answer.status;
                    } catch (IOException e) {
                        cut.incrementAndGet();
                        outcome = "no answer: " + e.getMessage();
                    }
                    rig.note("client " + id + " " + outcome);
                }));
            }
            if (now >= nextLookup) {
                nextLookup += 1 / LOOKUPS_PER_SECOND;
                String id = "lookup-" + number++;
                threads.add(begin(() -> {
                    double sent = rig.seconds();
                    String outcome;
                    try {
                        outcome = "status=" + call(relay, 5_000, "GET /stock/1", id, 3_000, null).status;
                    } catch (IOException e) {
                        outcome = "no answer: " + e.getMessage();
                    }
                    double took = rig.seconds() - sent;
                    lookups.add(took);
                    rig.note(String.format(Locale.ROOT, "client %s %s after=%.3f", id, outcome, took));
                }));
            }
            Thread.sleep(2);
        }
        for (Thread thread : threads) thread.join();
        long atTimeout = lookups.stream().filter(took -> took > LOOKUP_TIMEOUT).count();
        long later = lookups.stream().filter(took -> took > LOOKUP_TIMEOUT + 0.5).count();
        rig.note("uploads answered=" + served + " cut=" + cut + "; lookups=" + lookups.size() + " unanswered at timeout_ms="
            + atTimeout + " and 0.5 s later=" + later + "; relay alive=" + relay.process.isAlive());
        return later * 2 <= atTimeout || atTimeout < 8;
    }

    private static Thread begin(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private static Rig.Message call(Rig.Relay relay, int patience, String target, String id, int deadline, byte[] body) throws IOException {
        try (Socket socket = Rig.connect(relay.callers, 1000)) {
            socket.setSoTimeout(patience);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
            socket.getOutputStream().write((target + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                + deadline + "\r\n" + length + "\r\n").getBytes());
            if (body != null) socket.getOutputStream().write(body);
            return Rig.Http.read(in);
        }
    }

    private static Rig.Server server(Rig rig, String name, long work) throws IOException {
        return new Rig.Server(0, 0, (socket, in, out) -> {
            while (true) {
                Rig.Message request = Rig.Http.readHead(in);
                int bytes = Rig.Http.skipBody(request, in);
                String id = request.header("Attempt-Id");
                rig.note("server " + name + " runs " + id + " bytes=" + bytes);
                Thread.sleep(work);
                out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: s1\r\nContent-Length: 2\r\n\r\nok").getBytes());
                out.flush();
            }
        });
    }

    private static String entry(String service, Rig.Server server) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.port
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":"
            + System.currentTimeMillis() + "}";
    }
}
