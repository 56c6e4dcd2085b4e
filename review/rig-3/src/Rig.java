import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins of the users' platform for the cases of the third review: its store, model servers, plain servers, TCP
 * proxies and clients, all on loopback. The relays are separate processes with the command of the deploy file.
 */
final class Rig implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    private static final int HEARTBEAT_MILLISECONDS = 1_200;
    final Path root = Path.of(System.getProperty("rig.root")).toAbsolutePath();
    final Path work;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store = new Store();
    final List<Relay> relays = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();

    Rig(String caseFolder) throws IOException {
        work = Files.createTempDirectory("review-3-");
        Path file = root.resolve(caseFolder).resolve("record.txt");
        record = new PrintWriter(new BufferedWriter(Files.newBufferedWriter(file)), false);
        open.add(store);
        note("case=" + caseFolder + " trouble=" + trouble);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> relays.forEach(Relay::kill)));
    }

    /** Milliseconds since the rig was started. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes a line to the record. */
    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", now() / 1000.0, line);
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static Thread thread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends everything, writes the verdict and exits: 0 held, 1 broken, 2 could not run. */
    void finish(int status, String verdict) {
        note("verdict: status=" + status + " " + verdict);
        System.out.println("status=" + status + " " + verdict);
        close();
        System.exit(status);
    }

    @Override
    public void close() {
        relays.forEach(Relay::kill);
        for (AutoCloseable each : open) {
            try {
                each.close();
            } catch (Exception exception) {
                note("close: " + exception);
            }
        }
        synchronized (this) {
            record.flush();
            record.close();
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(work)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException exception) {
                System.err.println("temporary folder: " + exception);
            }
        } else {
            System.out.println("logs in " + work);
        }
    }

    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    /** Returns a free port below those that the system gives to outgoing connections, so that a restart finds it free. */
    static int freePort() {
        while (true) {
            int port = 20_000 + java.util.concurrent.ThreadLocalRandom.current().nextInt(10_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException exception) {
                // It is in use; the next one may be free.
            }
        }
    }

    /** Starts a relay with the command of the deploy file and settings like those of a small deployment. */
    Relay startRelay(String name, String zone) throws IOException {
        Relay relay = new Relay(name, zone);
        relays.add(relay);
        relay.start();
        return relay;
    }

    void awaitReady(long milliseconds) {
        long end = now() + milliseconds;
        for (Relay relay : relays) {
            while (!relay.isReady()) {
                if (now() > end) finish(2, relay.name + " is not ready; see its log");
                pause(50);
            }
        }
    }

    /** Returns the relay that the newest record of the lease names, null if none. */
    Relay issuer() {
        byte[] value = store.newest("keyed.control", "issuer");
        if (value == null) return null;
        String text = new String(value, StandardCharsets.UTF_8);
        for (Relay relay : relays) {
            if (text.contains("\"" + HOST + ":" + relay.peerProxy.port + "\"")) return relay;
        }
        return null;
    }

    Relay awaitIssuer(long milliseconds) {
        long end = now() + milliseconds;
        while (now() < end) {
            Relay issuer = issuer();
            if (issuer != null) return issuer;
            pause(50);
        }
        finish(2, "no relay took the lease");
        return null;
    }

    /** One relay process, with a proxy before the store and one before its address for peers. */
    final class Relay {
        final String name;
        final String zone;
        final int callers = freePort();
        final int readiness = freePort();
        final int peers = freePort();
        final Proxy storeProxy = new Proxy(store.port());
        final Proxy peerProxy = new Proxy(peers);
        private Process process;

        Relay(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
            open.add(storeProxy);
            open.add(peerProxy);
        }

        long pid() {
            return process.pid();
        }

        void start() throws IOException {
            Path settings = work.resolve(name + ".json");
            Files.writeString(settings, """
                {"node": "%s", "failureDomain": "%s", "callers": "%s:%d", "readiness": "%s:%d", "peers": "%s:%d",
                 "advertisedPeers": "%s:%d", "store": "%s:%d", "stopSeconds": 8, "drainMilliseconds": 2000,
                 "handOverMilliseconds": 300, "enginesRefuseOldFences": true, "processorShare": 0.75,
                 "linkMegabits": 1000.0, "repetitionRatio": 0.2, "repetitionsFixed": 56.0,
                 "repetitionWindowSeconds": 10.0, "loadWindowSeconds": 5.0, "strictRevocation": false,
                 "revocationMilliseconds": 3000}
                """.formatted(name, zone, HOST, callers, HOST, readiness, HOST, peers, HOST, peerProxy.port, HOST,
                storeProxy.port));
            String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(it -> it.startsWith("run = ")).findFirst().orElseThrow();
            List<String> command = new ArrayList<>(
                Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            command.replaceAll(it -> it.equals("/etc/plantainturn/settings.json") ? settings.toString() : it);
            File log = work.resolve(name + ".log").toFile();
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            process = builder.start();
            note("started " + name + " pid=" + process.pid());
        }

        /** Sends a signal to this process, by its id. */
        void signal(String signal) {
            note("signal " + signal + " to " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }

        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isReady() {
            try (Client client = new Client(readiness)) {
                return client.call("GET", "/api/readyz", Map.of("Host", "probe"), new byte[0], 1_000).status == 200;
            } catch (IOException exception) {
                return false;
            }
        }
    }

    /** A message as it was read: the start line's parts, headers in lower case, and the body. */
    static final class Message {
        String method;
        String target;
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the start line and the headers, null at the end of the connection. */
    static Message readHead(InputStream in, boolean isAnswer) throws IOException {
        String start = readLine(in);
        if (start == null) return null;
        Message message = new Message();
        String[] parts = start.split(" ", 3);
        if (parts.length < 2) throw new IOException("not a start line: " + start);
        if (isAnswer) {
            message.status = Integer.parseInt(parts[1]);
        } else {
            message.method = parts[0];
            message.target = parts[1];
        }
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("within the headers");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the next chunk of a chunked body, null after the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) throw new EOFException("before the last chunk");
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) throw new EOFException("within a chunk");
        readLine(in);
        return length == 0 ? null : chunk;
    }

    static void readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk != null; chunk = readChunk(in)) whole.write(chunk);
            message.body = whole.toByteArray();
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) throw new EOFException("within the body");
        }
    }

    /** A blocking HTTP/1.1 server: one thread a connection. */
    abstract class Server implements AutoCloseable {
        protected volatile ServerSocket listening;
        private final int fixedPort;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server() {
            this.fixedPort = freePort();
            listen();
        }

        int port() {
            return fixedPort;
        }

        String address() {
            return HOST + ":" + fixedPort;
        }

        final void listen() {
            try {
                ServerSocket socket = new ServerSocket();
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(HOST, fixedPort), 1_024);
                listening = socket;
                thread("accept-" + fixedPort, () -> accept(socket));
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }

        private void accept(ServerSocket from) {
            while (!from.isClosed()) {
                try {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread("serve-" + fixedPort, () -> serve(socket));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message request = readHead(in, false); request != null; request = readHead(in, false)) {
                    readBody(in, request);
                    if (!handle(request, out, socket)) return;
                }
            } catch (IOException | RuntimeException exception) {
                // The other side has gone, or this server has crashed.
            } finally {
                sockets.remove(socket);
            }
        }

        /** Answers one request; returns whether the connection is kept. */
        abstract boolean handle(Message request, OutputStream out, Socket socket) throws IOException;

        /** Ends as a killed process does: connections are reset, and the port refuses new ones. */
        final void crash() {
            try {
                listening.close();
            } catch (IOException exception) {
                note("close of port " + fixedPort + ": " + exception);
            }
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException exception) {
                    // It is closed already.
                }
            }
        }

        @Override
        public void close() {
            crash();
        }
    }

    static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String part : target.substring(mark + 1).split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals),
                    java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    /** The platform's store: a log with topics of one partition. It answers after a few milliseconds. */
    final class Store extends Server {
        private final Map<String, List<Entry>> topics = new HashMap<>();
        private static final int ANSWER_MILLISECONDS = 4;

        private record Entry(String key, byte[] value, byte[] raw) {
        }

        private synchronized List<Entry> topic(String name) {
            return topics.computeIfAbsent(name, it -> new ArrayList<>());
        }

        /** Writes a record as the operator or a server does; null drops the key. */
        synchronized void put(String topic, String key, String value) {
            byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
            byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
            ByteBuffer raw = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
            raw.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
            append(topic, raw.array());
            notifyAll();
        }

        private void append(String topic, byte[] raw) {
            int keyLength = topic.startsWith("keyed.") ? raw[0] & 0xFF : -1;
            String key = keyLength < 0 ? null : new String(raw, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = keyLength < 0 ? raw : Arrays.copyOfRange(raw, 1 + keyLength, raw.length);
            topic(topic).add(new Entry(key, value, raw));
        }

        /** Returns the newest value of a key, null if there is none. */
        synchronized byte[] newest(String topic, String key) {
            List<Entry> entries = topic(topic);
            for (int index = entries.size() - 1; index >= 0; index--) {
                if (key.equals(entries.get(index).key)) {
                    return entries.get(index).value.length == 0 ? null : entries.get(index).value;
                }
            }
            return null;
        }

        @Override
        boolean handle(Message request, OutputStream out, Socket socket) throws IOException {
            Map<String, String> query = query(request.target);
            String topic = query.getOrDefault("topic", "");
            pause(ANSWER_MILLISECONDS);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Store-Era", "1");
            String path = request.target.split("\\?")[0];
            switch (path) {
                case "/api/log-append" -> append(request, query, topic, headers, out);
                case "/api/log-newest" -> newest(topic, headers, out);
                case "/api/log-read" -> read(query, topic, headers, out);
                default -> answer(out, 404, headers, new byte[0]);
            }
            return true;
        }

        private void append(
            Message request, Map<String, String> query, String topic, Map<String, String> headers, OutputStream out
        ) throws IOException {
            String text;
            int status;
            synchronized (this) {
                int end = topic(topic).size();
                String at = query.get("at");
                if (at != null && Long.parseLong(at) != end) {
                    status = 412;
                    text = "{\"end_offset\":" + end + "}";
                } else {
                    ByteBuffer records = ByteBuffer.wrap(request.body);
                    while (records.hasRemaining()) {
                        byte[] raw = new byte[records.getInt()];
                        records.get(raw);
                        append(topic, raw);
                    }
                    status = 200;
                    text = "{\"offset\":" + end + ",\"end_offset\":" + topic(topic).size() + "}";
                    notifyAll();
                }
            }
            headers.put("Content-Type", "application/json");
            answer(out, status, headers, text.getBytes(StandardCharsets.UTF_8));
        }

        private void newest(String topic, Map<String, String> headers, OutputStream out) throws IOException {
            StringBuilder items = new StringBuilder();
            int end;
            synchronized (this) {
                List<Entry> entries = topic(topic);
                Map<String, Integer> last = new TreeMap<>();
                for (int index = 0; index < entries.size(); index++) last.put(entries.get(index).key, index);
                last.forEach((key, index) -> {
                    if (entries.get(index).value.length == 0) return;
                    if (items.length() > 0) items.append(',');
                    items.append("{\"key\":\"").append(key).append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(entries.get(index).value))
                        .append("\",\"offset\":").append(index).append('}');
                });
                end = entries.size();
            }
            String text = "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + end + "}";
            headers.put("Content-Type", "application/json");
            answer(out, 200, headers, text.getBytes(StandardCharsets.UTF_8));
        }

        private void read(Map<String, String> query, String topic, Map<String, String> headers, OutputStream out)
            throws IOException {
            int from = Integer.parseInt(query.getOrDefault("from_rev", "0"));
            long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
            long until = now() + wait;
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            synchronized (this) {
                while (topic(topic).size() <= from && now() < until) {
                    try {
                        wait(Math.max(1, until - now()));
                    } catch (InterruptedException exception) {
                        throw new IOException(exception);
                    }
                }
                List<Entry> entries = topic(topic);
                body.write(ByteBuffer.allocate(16).putLong(entries.size()).putLong(0).array());
                for (int index = from; index < Math.min(entries.size(), from + 1_024); index++) {
                    byte[] raw = entries.get(index).raw;
                    body.write(ByteBuffer.allocate(4).putInt(raw.length).array());
                    body.write(raw);
                }
            }
            headers.put("Content-Type", "application/octet-stream");
            answer(out, 200, headers, body.toByteArray());
        }
    }

    /** How an order to a model server was answered, and from whom it came. */
    record Order(long at, String engine, String holder, long fence, String text, int status) {
    }

    final List<Order> orders = new CopyOnWriteArrayList<>();

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(\"([^\"]*)\"|-?[0-9]+)").matcher(json);
        if (!matcher.find()) return null;
        return matcher.group(2) != null ? matcher.group(2) : matcher.group(1);
    }

    /** A model server. It checks fences and the expected number of orders, and streams numbered events. */
    final class Engine extends Server {
        final String id;
        final String service;
        final String zone;
        final String version;
        final int adapterPlaces;
        private final long born = System.currentTimeMillis();
        private final Map<String, List<String>> models = new TreeMap<>();
        private final java.util.concurrent.atomic.AtomicInteger running = new java.util.concurrent.atomic.AtomicInteger();
        private long sequence;
        private long fence = -1;
        volatile int events = 20;
        volatile long eventPause = 60;
        volatile long firstPause;
        volatile long loadMilliseconds;
        private boolean busy;

        Engine(String id, String service, String zone, String version, int adapterPlaces, String... held) {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.version = version;
            this.adapterPlaces = adapterPlaces;
            for (String model : held) models.put(model, new ArrayList<>());
            open.add(this);
        }

        /** Writes the entry of this server into the store, and again at each heartbeat. */
        void register(String state) {
            note("entry " + id + " version=" + version + " state=" + state);
            write(state, 1);
            thread("heartbeat-" + id, () -> {
                for (int beat = 2; ; beat++) {
                    pause(HEARTBEAT_MILLISECONDS);
                    write(state, beat);
                }
            });
        }

        private void write(String state, int beat) {
            store.put("keyed.servers", id, """
                {"service":"%s","address":"%s","zone":"%s","version":"%s","slots":64,"state":"%s","cold_left_ms":0,\
                "seq":%d,"stage":"unified","born":%d,"models":%s}""".formatted(service,
                address(), zone, version, state,
                beat, born, residents()));
        }

        private synchronized String residents() {
            StringBuilder text = new StringBuilder("[");
            models.forEach((model, adapters) -> {
                if (text.length() > 1) text.append(',');
                text.append("{\"name\":\"").append(model).append("\",\"version\":1,\"adapters\":[");
                for (int index = 0; index < adapters.size(); index++) {
                    text.append(index > 0 ? "," : "").append("{\"name\":\"").append(adapters.get(index)).append("\"}");
                }
                text.append("]}");
            });
            return text.append("]").toString();
        }

        @Override
        boolean handle(Message request, OutputStream out, Socket socket) throws IOException {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Instance-Id", id);
            String expected = request.header("Expect-Instance");
            String identifier = request.header("Attempt-Id");
            if (identifier != null) headers.put("Attempt-Id", identifier);
            if (expected != null && !expected.equals(id)) {
                answer(out, 421, headers, new byte[0]);
                return true;
            }
            String path = request.target.split("\\?")[0];
            if (path.equals("/api/report")) {
                byte[] report;
                synchronized (this) {
                    report = """
                        {"stage":"unified","born":%d,"models":%s,"busy":%s,"seq":%d,"queued":0,"active":%d,\
                        "kv_used":0,"kv_total":300000,"handles":0}""".formatted(born, residents(), busy, sequence,
                        running.get()).getBytes(StandardCharsets.UTF_8);
                }
                headers.put("Content-Type", "application/json");
                answer(out, 200, headers, report);
                return true;
            }
            if (path.equals("/api/order")) {
                answer(out, order(new String(request.body, StandardCharsets.UTF_8)), headers, new byte[0]);
                return true;
            }
            if (!holds(request.header("Model"))) {
                headers.put("Not-Executed", "1");
                answer(out, 421, headers, new byte[0]);
                return true;
            }
            stream(request, out, headers);
            return true;
        }

        private synchronized boolean holds(String model) {
            if (model == null) return true;
            List<String> adapters = models.get(model.split("/")[0]);
            return adapters != null && (!model.contains("/") || adapters.contains(model.split("/")[1]));
        }

        private int order(String text) {
            int status;
            synchronized (this) {
                long token = Long.parseLong(field(text, "fencing_token"));
                String expected = field(text, "expected");
                String model = field(text, "model");
                String adapter = field(text, "adapter");
                boolean loads = "loading".equals(field(text, "op"));
                List<String> held = models.get(model);
                if (token < fence) {
                    status = 412;
                } else if (expected != null && Long.parseLong(expected) != sequence) {
                    fence = token;
                    status = 409;
                } else if (adapter == null && busy) {
                    fence = token;
                    status = 409;
                } else if (adapter == null) {
                    fence = token;
                    boolean already = loads == (held != null);
                    if (!already) {
                        sequence++;
                        if (loads) load(model);
                        else models.remove(model);
                    }
                    status = already ? 200 : 202;
                } else {
                    fence = token;
                    boolean already = held == null || loads == held.contains(adapter);
                    if (!already) {
                        sequence++;
                        if (loads) held.add(adapter);
                        else held.remove(adapter);
                    }
                    status = already || !loads ? 200 : 202;
                }
                orders.add(new Order(now(), id, field(text, "holder"), token, text, status));
            }
            note("order at " + id + " status=" + status + " " + text);
            return status;
        }

        private void load(String model) {
            if (loadMilliseconds == 0) {
                models.put(model, new ArrayList<>());
                return;
            }
            busy = true;
            thread("load-" + id, () -> {
                pause(loadMilliseconds);
                synchronized (this) {
                    busy = false;
                    models.put(model, new ArrayList<>());
                }
                note("loaded " + model + " at " + id);
            });
        }

        private void stream(Message request, OutputStream out, Map<String, String> headers) throws IOException {
            String after = request.header("Last-Event-Id");
            int first = after == null ? 1 : Integer.parseInt(after) + 1;
            note("run " + request.header("Attempt-Id") + " at " + id + " version=" + version + " from=" + first);
            headers.put("Server-Stamp", "stamp-" + id);
            headers.put("Server-Load", running.incrementAndGet() + ",0,64");
            headers.put("Content-Type", "text/event-stream");
            headers.put("Weight-Versions", "1");
            headers.put("Transfer-Encoding", "chunked");
            try {
                StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
                headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
                pause(firstPause);
                for (int number = first; number <= events; number++) {
                    pause(eventPause);
                    byte[] event = ("id: " + number + "\ndata: " + id + " " + version + "\n\n")
                        .getBytes(StandardCharsets.UTF_8);
                    out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(event);
                    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            } finally {
                running.decrementAndGet();
            }
        }
    }

    /** Forwards TCP connections to a port. */
    final class Proxy implements AutoCloseable {
        final int port = freePort();
        private final int target;
        private volatile ServerSocket listening;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Proxy(int target) throws IOException {
            this.target = target;
            listen();
        }

        private void listen() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(HOST, port), 1_024);
            listening = socket;
            thread("proxy-" + port, () -> accept(socket));
        }

        private void accept(ServerSocket from) {
            while (!from.isClosed()) {
                try {
                    Socket near = from.accept();
                    sockets.add(near);
                    thread("proxy-open-" + port, () -> begin(near));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void begin(Socket near) {
            try {
                Socket far = new Socket(HOST, target);
                sockets.add(far);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                thread("proxy-in-" + port, () -> copy(near, far));
                thread("proxy-out-" + port, () -> copy(far, near));
            } catch (IOException exception) {
                closeQuietly(near);
            }
        }

        private void copy(Socket from, Socket to) {
            byte[] buffer = new byte[16_384];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                        out.write(buffer, 0, count);
                    out.flush();
                }
            } catch (IOException exception) {
                // One of both sides has ended.
            } finally {
                closeQuietly(from);
                closeQuietly(to);
                sockets.remove(from);
                sockets.remove(to);
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
            sockets.forEach(Rig::closeQuietly);
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // It is closed already.
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, port), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.write(body);
            out.write(whole.toByteArray());
            out.flush();
        }

        Message head(int timeout) throws IOException {
            socket.setSoTimeout(timeout);
            Message answer = readHead(in, true);
            if (answer == null) throw new EOFException("no answer");
            return answer;
        }

        byte[] chunk() throws IOException {
            return readChunk(in);
        }

        Message call(String method, String target, Map<String, String> headers, byte[] body, int timeout)
            throws IOException {
            send(method, target, headers, body);
            Message answer = head(timeout);
            readBody(in, answer);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private int configurationVersion = 1;

    /** Writes the operator's configuration: a plain service "shop" and model servers "llm" with the given models. */
    void configure(String models, int adapterSlots) {
        note("configuration version=" + configurationVersion);
        store.put("keyed.op", "config", """
            {"version":%d,"routes":[
             {"name":"once","host":"shop.example","path_prefix":"/once/","route_kind":"non_idempotent","timeout_ms":1000,
              "goal_ms":121,"priority":2,"service":"shop","max_attempts":1},
             {"name":"safe","host":"shop.example","path_prefix":"/safe/","route_kind":"idempotent","timeout_ms":1000,
              "goal_ms":121,"priority":2,"service":"shop","max_attempts":2},
             {"name":"stream","host":"llm.example","path_prefix":"/stream/","route_kind":"streaming",
              "timeout_ms":15000,"goal_ms":1000,"priority":0,"service":"llm","max_attempts":1,"sticky":true,
              "gap_goal_ms":300},
             {"name":"batch","host":"llm.example","path_prefix":"/batch/","route_kind":"streaming","timeout_ms":15000,
              "goal_ms":6000,"priority":2,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,
              "gap_goal_ms":300}],
             "services":[{"name":"shop","health_path":"/healthz","max_conns":110},
              {"name":"llm","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":300000,
               "stride":4,"models":%s,"weights_mb":230000,"adapter_slots":%d,"loads_per_s":1.1}}],
             "limits":{"max_header_bytes":8192,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000}}""".formatted(configurationVersion++, models, adapterSlots));
    }
}
