import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One part of a prompt crashes each server that begins to write an answer on it. It stands behind the parts that all
 * prompts of the service begin with. From contact_ms after the fifth crash on, three requests with it may reach servers
 * (rule BUDGET).
 */
public final class DeepPart {
    private static final int SERVERS = 4;
    private static final int RELAYS = 2;
    private static final int EVENTS = 8;
    private static final int CONTACT_MILLISECONDS = 3_000;
    private static final int ALLOWED_REQUESTS = 3;
    private static final int RESTART_MILLISECONDS = 3_000;
    private static final int TIME_LIMIT_MILLISECONDS = 5_000;
    private static final double JUDGED_SECONDS = 45;
    private static final String MODEL = "m0";
    private static final String CRASHING = "dead0001";

    /** Parts that all prompts begin with. With DEPTH=1 the part stands right behind the first of them. */
    private static final int SHARED_PARTS =
        System.getenv("DEPTH") == null ? 65 : Integer.parseInt(System.getenv("DEPTH"));

    private static final String CONFIGURATION = """
        {"version": 3, "routes": [{"name": "read", "host": "desk.example", "path_prefix": "/read/",
          "route_kind": "streaming", "timeout_ms": 5000, "goal_ms": 600, "priority": 1, "service": "taru-model",
          "max_attempts": 1, "sticky": true, "resumable": false, "gap_goal_ms": 300}],
         "services": [{"name": "taru-model", "health_path": "/healthz", "max_conns": 370, "engine": {"slots": 64,
          "kv_capacity": 298064, "models": [{"name": "m0", "weights_mb": 65100.0, "load_s": 7.6, "adapters": 0,
          "adapter_mb": 12.0, "warm_s": 1.5, "disk_load_s": 1.5}], "weights_mb": 230000.0, "adapter_slots": 8,
          "loads_per_s": 1.1}}],
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}}
        """;

    private static final Map<String, Engine> ENGINES = new ConcurrentHashMap<>();
    private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
    private static final List<Double> ARRIVALS = new CopyOnWriteArrayList<>();
    private static final AtomicInteger NUMBERS = new AtomicInteger();
    private static final AtomicInteger SOUND_SERVED = new AtomicInteger();
    private static final AtomicInteger SOUND_REQUESTS = new AtomicInteger();
    private static volatile boolean ended;

    private DeepPart() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, DeepPart::run);
    }

    private static int run() throws IOException {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIGURATION);
        for (int number = 1; number <= SERVERS; number++) {
            Engine engine = new Engine(MODEL);
            ENGINES.put("i-model" + number, engine);
            Upstream server = new Upstream(store, "i-model" + number, "taru-model", "hakata", DeepPart::serve);
            server.extra = engine::fields;
            server.register();
        }
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 1; number <= RELAYS; number++) {
            relays.add(Rig.relay("edge-hakata-" + number, "hakata", store.address()));
        }
        for (Rig.Relay relay : relays) relay.start();
        Rig.awaitReady(relays);
        Rig.sleep(4_000);
        Rig.daemonThread(() -> send(relays, 250, false)).start();
        Rig.sleep(4_000);
        if (Rig.TROUBLE) Rig.daemonThread(() -> send(relays, 1_500, true)).start();
        Rig.sleep((long) (JUDGED_SECONDS * 1_000));
        ended = true;
        Rig.note("sound requests: " + SOUND_SERVED + " of " + SOUND_REQUESTS + " served; requests with the part that"
            + " reached servers: " + CRASHES.size());
        if (SOUND_REQUESTS.get() < 20) return Rig.COULD_NOT_RUN;
        if (CRASHES.size() < 5) return Rig.HELD;
        double from = CRASHES.get(4) + CONTACT_MILLISECONDS / 1_000.0;
        long late = ARRIVALS.stream().filter(at -> at > from).count();
        Rig.note("the fifth crash was at " + CRASHES.get(4) + "; " + late + " reached servers later than " + from);
        return late > ALLOWED_REQUESTS ? Rig.BROKEN : Rig.HELD;
    }

    private static void serve(Upstream server, Http connection, Http.Message request) throws IOException {
        Engine engine = ENGINES.get(server.name);
        if (engine.control(server, connection, request)) return;
        if (!engine.holds(MODEL)) {
            server.answer(connection, request, 421, "", new byte[0]);
            return;
        }
        double arrived = Rig.seconds();
        Rig.sleep(60);
        if (request.header("Prompt-Prefix").contains(CRASHING)) {
            CRASHES.add(Rig.seconds());
            ARRIVALS.add(arrived);
            Rig.note(server.name + " crashes on " + request.header("Attempt-Id") + ", crash " + CRASHES.size());
            engine.restart();
            server.crash(RESTART_MILLISECONDS);
            return;
        }
        connection.write("HTTP/1.1 200 OK\nAttempt-Id: " + request.header("Attempt-Id") + "\nServer-Stamp: stamp-"
            + server.name + "\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", new byte[0]);
        for (int event = 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: words\n\n";
            connection.write(Integer.toHexString(text.length()) + "\n", (text + "\r\n").getBytes());
            Rig.sleep(20);
        }
        connection.write("0\n\n", new byte[0]);
    }

    private static void send(List<Rig.Relay> relays, long pause, boolean crashing) {
        String shared = IntStream.range(0, SHARED_PARTS).mapToObj(part -> "5c1e%04x:100".formatted(part))
            .collect(Collectors.joining(","));
        while (!ended) {
            int number = NUMBERS.incrementAndGet();
            String next = crashing ? CRASHING : "91bd%04x".formatted(number % 5);
            String parts = shared + "," + next + ":400,e44a%04x:50".formatted(number);
            Rig.daemonThread(() -> ask(relays.get(number % relays.size()), "a-" + number, parts, crashing)).start();
            Rig.sleep(pause);
        }
    }

    private static void ask(Rig.Relay relay, String identifier, String parts, boolean crashing) {
        if (!crashing) SOUND_REQUESTS.incrementAndGet();
        String result;
        try (Http connection = Http.connect(relay.callers, 1_000)) {
            connection.socket.setSoTimeout(TIME_LIMIT_MILLISECONDS);
            byte[] body = ("question " + identifier).getBytes();
            connection.write("POST /read/page HTTP/1.1\nHost: desk.example\nAttempt-Id: " + identifier + "\nModel: " + MODEL
                + "\nToken-Usage: " + (SHARED_PARTS * 100 + 450) + ",32\nPrompt-Prefix: " + parts + "\nDeadline-Ms: "
                + TIME_LIMIT_MILLISECONDS + "\nContent-Length: " + body.length + "\n\n", body);
            Http.Message head = connection.readHead();
            int events = 0;
            if (head != null && head.status() == 200) while (connection.readChunk() != null) events++;
            result = head == null ? "no answer" : head.status() + " code " + head.header("X-Result-Code");
            if (!crashing && events > 0) SOUND_SERVED.incrementAndGet();
        } catch (SocketTimeoutException exception) {
            result = "no answer in time";
        } catch (IOException exception) {
            result = "" + exception.getMessage();
        }
        Rig.note(identifier + (crashing ? " with the part that crashes" : " sound") + " at " + relay.name + ": " + result);
    }
}
