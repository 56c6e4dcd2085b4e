import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The three servers of a small deployment's only zone crash and are back after 5 s. 3 s after the crash all relays are
 * killed and started again, as at the end of a day. All callers ask for the same item.
 */
final class Blocked {
    static final int SERVERS = 3;
    static final int RELAYS = 2;
    static final double PER_SECOND = 50;
    static final long WORK = 250;
    static final double CRASH_AT = 6.0;
    static final double CRASH_FOR = 5.0;
    static final double KILL_AT = 9.0;
    static final double KILL_FOR = 1.6;
    static final double RECOVER = 12.0;
    static final double LENGTH = 40.0;

    public static void main(String[] args) throws Exception {
        Rig.main(args, Blocked::run);
    }

    /** A request: when it was sent, and the status of its answer; 0 for none. */
    record Outcome(double sent, int status) { }

    static boolean run(Rig rig) throws Exception {
        List<PlainServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) servers.add(new PlainServer(rig, "i-" + number));
        rig.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/stock/\","
            + "\"route_kind\":\"idempotent\",\"timeout_ms\":1000,\"goal_ms\":193,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2}],"
            + "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 1; number <= RELAYS; number++) relays.add(rig.new Relay("relay-" + number));
        for (Rig.Relay relay : relays) relay.awaitReady();
        Thread.sleep(1_000);

        double start = rig.seconds();
        // VARIANT names one of the two disruptions, to see what the other one alone does.
        String variant = System.getenv().getOrDefault("VARIANT", "both");
        boolean crashes = rig.trouble && !variant.equals("kill");
        boolean kills = rig.trouble && !variant.equals("crash");
        List<Outcome> outcomes = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        double next = 0;
        int number = 0;
        int step = 0;
        double back = Double.MAX_VALUE;
        for (double now = 0; now < LENGTH; now = rig.seconds() - start) {
            if (step == 0 && now >= CRASH_AT) {
                step = 1;
                if (crashes) for (PlainServer server : servers) server.crash();
            }
            if (step == 1 && now >= KILL_AT) {
                step = 2;
                if (kills) for (Rig.Relay relay : relays) relay.signal("KILL");
            }
            if (step == 2 && now >= KILL_AT + KILL_FOR) {
                step = 3;
                if (kills) for (Rig.Relay relay : relays) relay.start();
            }
            if (step == 3 && now >= CRASH_AT + CRASH_FOR) {
                step = 4;
                if (crashes) for (PlainServer server : servers) server.restart();
            }
            if (step >= 3 && back == Double.MAX_VALUE && relays.stream().allMatch(Rig.Relay::isReady)) {
                back = rig.seconds() - start;
                rig.note(String.format(Locale.ROOT, "the relays are back %.1f s after the first request", back));
            }
            if (now >= next) {
                next += 1 / PER_SECOND;
                String id = "q" + number;
                Rig.Relay relay = relays.get(number % RELAYS);
                number++;
                double sent = now;
                Thread thread = new Thread(() -> {
                    int status = ask(relay, id);
                    outcomes.add(new Outcome(sent, status));
                    rig.note("client " + id + " " + relay.name + " status=" + status);
                });
                thread.start();
                threads.add(thread);
            }
            Thread.sleep(2);
        }
        for (Thread thread : threads) thread.join();
        double from = back + RECOVER;
        double before = share(outcomes, 0, KILL_AT);
        double after = share(outcomes, from, LENGTH);
        rig.note(String.format(Locale.ROOT, "served before the final fault %.3f, later than %.0f s after it %.3f", before, RECOVER, after));
        return before < 0.25 || after >= 0.25;
    }

    private static double share(List<Outcome> outcomes, double from, double to) {
        List<Outcome> within = outcomes.stream().filter(outcome -> outcome.sent >= from && outcome.sent < to).toList();
        return within.stream().filter(outcome -> outcome.status == 200).count() / (double) Math.max(1, within.size());
    }

    private static int ask(Rig.Relay relay, String id) {
        try (Socket socket = Rig.connect(relay.callers, 1_000)) {
            socket.setSoTimeout(2_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            socket.getOutputStream().write(("GET /stock/kegs HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: 1000\r\n\r\n").getBytes());
            Rig.Message answer = Rig.Http.read(in);
            return answer.whole ? answer.status : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    /** A server of a plain service with heartbeats; a restart is a new boot with a new identifier. */
    static final class PlainServer {
        private final Rig rig;
        private final String name;
        private int boot = 1;
        private long born;
        private Rig.Server server;
        private long lastBeat;

        PlainServer(Rig rig, String name) throws IOException {
            this.rig = rig;
            this.name = name;
            begin();
            Thread heart = new Thread(this::beat);
            heart.setDaemon(true);
            heart.start();
        }

        private String id() {
            return name + "-" + boot;
        }

        private synchronized void begin() throws IOException {
            born = System.currentTimeMillis();
            String id = id();
            server = new Rig.Server(0, 0, (socket, in, out) -> {
                while (true) {
                    Rig.Message request = Rig.Http.read(in);
                    String attempt = request.header("Attempt-Id");
                    String expected = request.header("Expect-Instance");
                    if (!expected.isEmpty() && !expected.equals(id)) {
                        out.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".getBytes());
                        out.flush();
                        continue;
                    }
                    rig.note("server " + id + " runs " + attempt);
                    Thread.sleep(WORK);
                    out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: " + id
                        + "\r\nContent-Length: 2\r\n\r\nok").getBytes());
                    out.flush();
                }
            });
            write();
        }

        synchronized void crash() throws IOException {
            rig.note("server " + id() + " crashes");
            server.close();
            server = null;
        }

        synchronized void restart() throws IOException {
            if (lastBeat != 0) rig.store.put("keyed.servers", id(), "");
            boot++;
            begin();
            rig.note("server " + id() + " starts");
        }

        private void beat() {
            while (true) {
                try {
                    Thread.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
                synchronized (this) {
                    long silence = (System.nanoTime() - lastBeat) / 1_000_000;
                    if (server != null && silence >= 1_200) {
                        write();
                    } else if (server == null && lastBeat != 0 && silence >= 3_600) {
                        lastBeat = 0;
                        rig.store.put("keyed.servers", id(), "");
                        rig.note("store removes the entry of " + id());
                    }
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
