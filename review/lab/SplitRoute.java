import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A request that crashes servers comes again and again; the operator splits its route between two other services. */
final class SplitRoute {
    private static final List<String> SERVICES = List.of("ledger-a", "ledger-b", "ledger-c");
    private static final String CRASHING_PATH = "/lookup/crashing";
    private static final int SERVERS = 3;
    private static final int CRASHES = 3;
    private static final int ALLOWED_LATER = 3;
    private static final long CONTACT_MILLISECONDS = 3_000;
    private static final long DOWN_MILLISECONDS = 4_000;
    private static final long ENTRY_MILLISECONDS = 3_600;
    private static final long CHANGE_AT = 20_000;
    private static final long END = 45_000;

    private final Lab lab;
    private final List<Lab.Relay> relays;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger soundSent = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();

    private SplitRoute(Lab lab) throws IOException {
        this.lab = lab;
        relays = List.of(lab.relay("edge-1", "hakata"), lab.relay("edge-2", "kitakyu"));
    }

    /** A client attempt that crashed a server when it arrived there. */
    private record Arrival(long at, String attempt) {}

    public static void main(String[] arguments) {
        Lab.play(arguments, (lab, trouble) -> new SplitRoute(lab).run(trouble));
    }

    private boolean run(boolean trouble) throws Exception {
        lab.store.put("keyed.op", "config", configuration(7, "\"service\":\"ledger-a\"", 1_000));
        for (String service : SERVICES) {
            for (int number = 0; number < SERVERS; number++) new CrashingServer(service + "-" + number, service, 1).register();
        }
        for (Lab.Relay relay : relays) {
            relay.start();
            relay.awaitReady();
        }
        Lab.sleep(2_000);
        lab.threads.execute(() -> repeat("sound", 100));
        lab.threads.execute(() -> repeat("crashing", 700));
        Lab.sleep(CHANGE_AT - Lab.now());
        if (arrivals.size() < CRASHES) throw new Lab.NotPlayed("the request reached " + arrivals.size() + " servers before the change");
        String split = "\"split\":[{\"service\":\"ledger-b\",\"weight\":0.5},{\"service\":\"ledger-c\",\"weight\":0.5}]";
        lab.log("the operator %s", trouble ? "splits the route between ledger-b and ledger-c" : "changes the time-out of the route");
        lab.store.put("keyed.op", "config", trouble ? configuration(9, split, 1_000) : configuration(9, "\"service\":\"ledger-a\"", 1_200));
        Lab.sleep(END - Lab.now());

        long third = arrivals.stream().skip(CRASHES - 1).findFirst().orElseThrow().at;
        List<Arrival> later = arrivals.stream().filter(arrival -> arrival.at > third + CONTACT_MILLISECONDS).toList();
        long retries = later.stream().map(Arrival::attempt).distinct().count();
        lab.log("the third server crashed at %d; over %d ms later %d client attempts reached %d servers (%d attempts allowed)", third, CONTACT_MILLISECONDS, retries, later.size(), ALLOWED_LATER);
        lab.log("sound requests: sent %s, served %s", soundSent, soundServed);
        return retries > ALLOWED_LATER;
    }

    private static String configuration(long version, String target, int timeout) {
        StringBuilder services = new StringBuilder();
        for (String service : SERVICES) {
            if (services.length() > 0) services.append(',');
            services.append("{\"name\":\"" + service + "\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}");
        }
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-lookup\",\"host\":\"" + Configurations.HOST
            + "\",\"path_prefix\":\"/lookup/\",\"route_kind\":\"idempotent\",\"timeout_ms\":" + timeout + ",\"goal_ms\":100,\"priority\":2," + target
            + ",\"max_attempts\":2}],\"services\":[" + services + "],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private void repeat(String kind, long gap) {
        boolean sound = kind.equals("sound");
        try {
            for (int number = 0; Lab.now() < END - 1_500; number++) {
                String attempt = kind + "-" + number;
                Lab.Relay relay = relays.get(number % relays.size());
                String path = sound ? "/lookup/" + attempt : CRASHING_PATH;
                lab.threads.execute(() -> get(relay, path, attempt, sound));
                Lab.sleep(gap);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void get(Lab.Relay relay, String path, String attempt, boolean sound) {
        if (sound) soundSent.incrementAndGet();
        String seen;
        try (Socket channel = Lab.connect(relay.callers, 1_000)) {
            channel.setSoTimeout(1_000);
            String head = "GET " + path + " HTTP/1.1\r\nHost: " + Configurations.HOST + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
            channel.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream input = new BufferedInputStream(channel.getInputStream());
            Lab.Message answer = Lab.Message.readHead(input);
            input.readNBytes(Integer.parseInt(answer.header("content-length", "0")));
            if (sound && answer.status() == 200) soundServed.incrementAndGet();
            seen = answer.first();
        } catch (IOException exception) {
            seen = exception.getMessage();
        }
        if (!sound || !seen.contains("200")) lab.log("caller of %s at %s: %s", attempt, relay.name, seen);
    }

    /** A server that a request to CRASHING_PATH crashes; a new one is there after some seconds. */
    private final class CrashingServer extends Lab.Server {
        private final String place;
        private final int start;

        CrashingServer(String place, String service, int start) throws IOException {
            super(lab, place + "-" + start, service, "v1", "", 6);
            this.place = place;
            this.start = start;
        }

        @Override
        void run(Lab.Message request, byte[] body, OutputStream output) throws IOException, InterruptedException {
            if (!request.path().equals(CRASHING_PATH)) {
                super.run(request, body, output);
                return;
            }
            String attempt = request.header("attempt-id", "");
            arrivals.add(new Arrival(Lab.now(), attempt));
            lab.log("server %s begins to run %s and crashes", id, attempt);
            lab.threads.execute(this::restart);
            end();
            throw new IOException("crashed");
        }

        private void restart() {
            try {
                Lab.sleep(ENTRY_MILLISECONDS);
                removeEntry();
                Lab.sleep(DOWN_MILLISECONDS - ENTRY_MILLISECONDS);
                new CrashingServer(place, service, start + 1).register();
            } catch (IOException exception) {
                lab.log("server %s is not started again: %s", place, exception.getMessage());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
