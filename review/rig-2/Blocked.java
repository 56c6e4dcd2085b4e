import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The three servers of a service, all in one zone, crash at once and are back after 4.5 s. Callers of the route that was
 * added later ask for the same item, callers of the first route each for another one.
 */
final class Blocked {
    static final int SERVERS = 3;
    static final int RELAYS = 2;
    static final double FIRST_PER_SECOND = 15;
    static final double LATER_PER_SECOND = 70;
    static final long WORK = 250;
    static final double ROUTE_ADDED_AT = 1.0;
    static final double LATER_FROM = 4.0;
    static final double CRASH_AT = 9.0;
    static final double CRASH_FOR = 4.5;
    /** contact_ms after the servers are back, and as long again. */
    static final double STEADY_AFTER = 6.0;
    static final double LENGTH = 35.0;

    public static void main(String[] args) throws Exception {
        Rig.main(args, Blocked::run);
    }

    /** A request: its route, when it was sent, and the status of its answer; 0 for none. */
    record Outcome(boolean later, double sent, int status) { }

    static boolean run(Rig rig) throws Exception {
        List<PlainServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) servers.add(new PlainServer(rig, "i-" + number));
        rig.store.put("keyed.op", "config", configuration(7, route("r-1", "/orders/")));
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 1; number <= RELAYS; number++) relays.add(rig.new Relay("relay-" + number));
        for (Rig.Relay relay : relays) relay.awaitReady();
        Thread.sleep(1_000);

        double start = rig.seconds();
        List<Outcome> outcomes = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        double nextFirst = 0;
        double nextLater = LATER_FROM;
        int number = 0;
        int step = 0;
        for (double now = 0; now < LENGTH; now = rig.seconds() - start) {
            if (step == 0 && now >= ROUTE_ADDED_AT) {
                step = 1;
                rig.store.put("keyed.op", "config", configuration(9, route("r-1", "/orders/") + "," + route("r-2", "/stock/")));
                rig.note("the operator adds the route /stock/");
            }
            if (step == 1 && now >= CRASH_AT) {
                step = 2;
                if (rig.trouble) for (PlainServer server : servers) server.crash();
            }
            if (step == 2 && now >= CRASH_AT + CRASH_FOR) {
                step = 3;
                if (rig.trouble) for (PlainServer server : servers) server.restart();
            }
            boolean later = now >= nextLater;
            if (later || now >= nextFirst) {
                if (later) nextLater += 1 / LATER_PER_SECOND;
                else nextFirst += 1 / FIRST_PER_SECOND;
                String id = "q" + number;
                String path = later ? "/stock/kegs" : "/orders/" + number;
                Rig.Relay relay = relays.get(number % RELAYS);
                number++;
                double sent = now;
                Thread thread = new Thread(() -> {
                    int status = ask(relay, id, path);
                    outcomes.add(new Outcome(later, sent, status));
                    rig.note("client " + id + " " + path + " " + relay.name + " status=" + status);
                });
                thread.start();
                threads.add(thread);
            }
            Thread.sleep(2);
        }
        for (Thread thread : threads) thread.join();
        double steady = CRASH_AT + CRASH_FOR + STEADY_AFTER;
        tell(rig, outcomes, "before the crash", 0, CRASH_AT - 1);
        tell(rig, outcomes, "in steady state", steady, LENGTH);
        long asked = of(outcomes, true, steady, LENGTH).size();
        double first = share(of(outcomes, false, steady, LENGTH));
        double added = share(of(outcomes, true, steady, LENGTH));
        return asked < 20 || added >= first / 4;
    }

    private static void tell(Rig rig, List<Outcome> outcomes, String when, double from, double to) {
        List<Outcome> first = of(outcomes, false, from, to);
        List<Outcome> later = of(outcomes, true, from, to);
        rig.note(String.format(Locale.ROOT, "%s: first route %.3f of %d served, route added later %.3f of %d", when, share(first), first.size(),
            share(later), later.size()));
    }

    private static List<Outcome> of(List<Outcome> outcomes, boolean later, double from, double to) {
        return outcomes.stream().filter(outcome -> outcome.later == later && outcome.sent >= from && outcome.sent < to).toList();
    }

    private static double share(List<Outcome> outcomes) {
        return outcomes.stream().filter(outcome -> outcome.status == 200).count() / (double) Math.max(1, outcomes.size());
    }

    private static String route(String name, String prefix) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"" + prefix + "\",\"route_kind\":\"idempotent\","
            + "\"timeout_ms\":1000,\"goal_ms\":193,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2}";
    }

    private static String configuration(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],"
            + "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static int ask(Rig.Relay relay, String id, String path) {
        try (Socket socket = Rig.connect(relay.callers, 1_000)) {
            socket.setSoTimeout(2_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
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
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + born + "}");
        }
    }
}
