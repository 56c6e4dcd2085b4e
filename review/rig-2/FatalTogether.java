import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Six requests crash each server that begins to run them. They come again and again, at the same moments, at any
 * relay, beside sound requests.
 */
final class FatalTogether {
    static final int SERVERS = 4;
    static final int RELAYS = 4;
    static final int FATAL = 6;
    static final double ROUNDS_PER_SECOND = 2;
    static final double SOUND_PER_SECOND = 30;
    static final double FATAL_FROM = 5.0;
    static final double LENGTH = 40.0;
    static final double CONTACT = 3.0;
    static final long DOWN = 2_000;
    static final long BEFORE_CRASH = 60;

    public static void main(String[] args) throws Exception {
        Rig.main(args, FatalTogether::run);
    }

    /** An arrival of a fatal request at a server, and when that run of the server crashed. */
    static final class Arrival {
        final String request;
        final double at;
        volatile double crashedAt = Double.NaN;

        Arrival(String request, double at) {
            this.request = request;
            this.at = at;
        }
    }

    static boolean run(Rig rig) throws Exception {
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        List<Member> members = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) members.add(new Member(rig, "i-" + number, arrivals));
        rig.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/orders/\","
            + "\"route_kind\":\"non_idempotent\",\"timeout_ms\":1500,\"goal_ms\":193,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2}],"
            + "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 1; number <= RELAYS; number++) relays.add(rig.new Relay("relay-" + number));
        for (Rig.Relay relay : relays) relay.awaitReady();
        Thread.sleep(1_000);
        Random random = new Random(Long.parseLong(System.getenv().getOrDefault("SEED", "1")));
        double start = rig.seconds();
        double nextSound = 0;
        double nextRound = FATAL_FROM;
        int number = 0;
        List<Thread> threads = new ArrayList<>();
        for (double now = 0; now < LENGTH; now = rig.seconds() - start) {
            if (now >= nextSound) {
                nextSound += 1 / SOUND_PER_SECOND;
                threads.add(post(rig, relays.get(random.nextInt(RELAYS)), "sound-" + number, "/orders/" + number, "order " + number));
                number++;
            }
            if (now >= nextRound) {
                nextRound += 1 / ROUNDS_PER_SECOND;
                for (int fatal = 1; fatal <= FATAL; fatal++) {
                    String kind = rig.trouble ? "fatal" : "other";
                    threads.add(post(rig, relays.get(random.nextInt(RELAYS)), kind + fatal + "-" + number, "/orders/" + kind + fatal, kind + fatal));
                    number++;
                }
            }
            Thread.sleep(2);
        }
        for (Thread thread : threads) thread.join();
        boolean kept = true;
        for (int fatal = 1; fatal <= FATAL; fatal++) {
            String name = "/orders/fatal" + fatal;
            List<Arrival> own = arrivals.stream().filter(arrival -> arrival.request.equals(name)).toList();
            double[] crashes = own.stream().mapToDouble(arrival -> arrival.crashedAt).filter(at -> !Double.isNaN(at)).sorted().toArray();
            double third = crashes.length < 3 ? Double.MAX_VALUE : crashes[2];
            long late = own.stream().filter(arrival -> arrival.at > third + CONTACT).count();
            rig.note(String.format(Locale.ROOT, "%s reached servers %d times, was running at %d crashes, the third at %.3f; %d times later than %.0f s after it",
                name, own.size(), crashes.length, third, late, CONTACT));
            if (late > 3) kept = false;
        }
        rig.note("crashes of servers=" + members.stream().mapToInt(member -> member.crashes).sum());
        return kept;
    }

    private static Thread post(Rig rig, Rig.Relay relay, String id, String path, String body) {
        Thread thread = new Thread(() -> {
            String outcome;
            try (Socket socket = Rig.connect(relay.callers, 1_000)) {
                socket.setSoTimeout(3_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                socket.getOutputStream().write(("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 1500\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
                outcome = "status=" + Rig.Http.read(in).status;
            } catch (IOException e) {
                outcome = "no answer";
            }
            rig.note("client " + id + " " + relay.name + " " + outcome);
        });
        thread.start();
        return thread;
    }

    /** A server that crashes shortly after it begins to run a fatal request, and is back as a new boot. */
    static final class Member {
        private final Rig rig;
        private final String name;
        private final List<Arrival> arrivals;
        private final List<Arrival> running = new ArrayList<>();
        private int boot;
        private long born;
        private Rig.Server server;
        private long lastBeat;
        private boolean crashing;
        int crashes;

        Member(Rig rig, String name, List<Arrival> arrivals) throws IOException {
            this.rig = rig;
            this.name = name;
            this.arrivals = arrivals;
            begin();
            Thread heart = new Thread(this::beat);
            heart.setDaemon(true);
            heart.start();
        }

        private String id() {
            return name + "-" + boot;
        }

        private synchronized void begin() throws IOException {
            if (boot > 0) removeLater(id(), 3_600 - (System.nanoTime() - lastBeat) / 1_000_000);
            boot++;
            born = System.currentTimeMillis();
            crashing = false;
            running.clear();
            String id = id();
            server = new Rig.Server(0, 0, (socket, in, out) -> {
                while (true) {
                    Rig.Message request = Rig.Http.read(in);
                    if (!request.whole) return;
                    String attempt = request.header("Attempt-Id");
                    String expected = request.header("Expect-Instance");
                    if (!expected.isEmpty() && !expected.equals(id)) {
                        out.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".getBytes());
                        out.flush();
                        continue;
                    }
                    rig.note("server " + id + " runs " + attempt);
                    String path = request.first.split(" ")[1];
                    if (path.startsWith("/orders/fatal")) {
                        runFatal(id, path);
                        Thread.sleep(10_000);
                        return;
                    }
                    Thread.sleep(40);
                    out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: " + id
                        + "\r\nContent-Length: 2\r\n\r\nok").getBytes());
                    out.flush();
                }
            });
            write();
        }

        private synchronized void runFatal(String id, String path) {
            if (!id.equals(id()) || server == null) return;
            Arrival arrival = new Arrival(path, rig.seconds());
            arrivals.add(arrival);
            running.add(arrival);
            if (crashing) return;
            crashing = true;
            Thread end = new Thread(() -> {
                try {
                    Thread.sleep(BEFORE_CRASH);
                    crash();
                    Thread.sleep(DOWN);
                    begin();
                } catch (Exception e) {
                    rig.note("server " + id + " " + e);
                }
            });
            end.setDaemon(true);
            end.start();
        }

        private synchronized void crash() throws IOException {
            rig.note("server " + id() + " crashes, runs " + running.stream().map(arrival -> arrival.request).toList());
            for (Arrival arrival : running) arrival.crashedAt = rig.seconds();
            crashes++;
            server.close();
            server = null;
        }

        /** The store removes the entry of a boot that ended after three ping intervals of silence. */
        private void removeLater(String ended, long milliseconds) {
            Thread removal = new Thread(() -> {
                try {
                    Thread.sleep(Math.max(0, milliseconds));
                    rig.store.put("keyed.servers", ended, "");
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            removal.setDaemon(true);
            removal.start();
        }

        private void beat() {
            while (true) {
                try {
                    Thread.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
                synchronized (this) {
                    if (server != null && (System.nanoTime() - lastBeat) / 1_000_000 >= 1_200) write();
                }
            }
        }

        private void write() {
            lastBeat = System.nanoTime();
            rig.store.put("keyed.servers", id(), "{\"service\":\"ledger\",\"address\":\"127.0.0.1:" + server.port
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + born + "}");
        }
    }
}
