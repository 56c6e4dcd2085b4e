import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins of the platform and its clients, and relays as processes. Everything listens on loopback. */
final class Lab implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long STARTED_AT = System.nanoTime();
    final ExecutorService threads =
        Executors.newCachedThreadPool(
            task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            });
    final Path folder;
    final Store store;
    private final PrintWriter record;
    private final List<Relay> relays = new ArrayList<>();

    Lab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review");
        store = new Store(this);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** A case; it returns whether the rule was broken. */
    interface Case {
        boolean run(Lab lab, boolean trouble) throws Exception;
    }

    /** Thrown if a case could not be played as it is meant. */
    static final class NotPlayed extends RuntimeException {
        private static final long serialVersionUID = 1;

        NotPlayed(String reason) {
            super(reason);
        }
    }

    /** Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void play(String[] arguments, Case played) {
        int status = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            try {
                status = played.run(lab, !"0".equals(System.getenv("TROUBLE"))) ? 1 : 0;
                if (arguments.length > 1) for (Relay relay : lab.relays) lab.log("%s", relay.output());
            } catch (Exception | Error failure) {
                lab.log("the case could not run: %s", failure);
            }
            lab.log("exit status %d", status);
        } catch (Exception | Error failure) {
            System.err.println(failure);
        }
        System.exit(status);
    }

    /** Milliseconds since the start of the case. */
    static long now() {
        return (System.nanoTime() - STARTED_AT) / 1_000_000;
    }

    synchronized void log(String format, Object... values) {
        record.printf("%6d %s%n", now(), String.format(format, values));
        record.flush();
    }

    /** Returns a free port below those that the system gives to outgoing connections, as these could take it meanwhile. */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (BindException exception) {
                // Another process has it.
            }
        }
        throw new IOException("no free port");
    }

    static void sleep(long milliseconds) throws InterruptedException {
        Thread.sleep(Math.max(0, milliseconds));
    }

    Relay relay(String name, String zone) throws IOException {
        Relay relay = new Relay(this, name, zone);
        relays.add(relay);
        return relay;
    }

    @Override
    public void close() {
        end();
        store.server.stop(0);
        threads.shutdownNow();
        record.close();
    }

    /** Kills the relays and removes their files. */
    private synchronized void end() {
        relays.forEach(Relay::kill);
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }

    /** The platform's store: keyed topics with conditional appends and long reads. */
    static final class Store {
        final HttpServer server;
        final String address;
        private final Map<String, Topic> topics = new ConcurrentHashMap<>();

        Store(Lab lab) throws IOException {
            server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
            server.setExecutor(lab.threads);
            server.createContext("/", this::handle);
            server.start();
            address = "127.0.0.1:" + server.getAddress().getPort();
        }

        /** Writes a record as the operator or a server does; an empty value drops the key. */
        void put(String topic, String key, String value) {
            byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
            byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
            ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
            content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
            topic(topic).append(List.of(content.array()), null);
        }

        private Topic topic(String name) {
            return topics.computeIfAbsent(name, ignored -> new Topic());
        }

        private void handle(HttpExchange exchange) throws IOException {
            try (exchange) {
                Map<String, String> query = new TreeMap<>();
                String text = exchange.getRequestURI().getRawQuery();
                for (String part : (text == null ? "" : text).split("&")) {
                    if (part.contains("=")) query.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
                }
                byte[] body = exchange.getRequestBody().readAllBytes();
                Topic topic = topic(query.getOrDefault("topic", ""));
                switch (exchange.getRequestURI().getPath()) {
                    case "/api/log-append" -> {
                        String at = query.get("at");
                        long offset = topic.append(split(body), at == null ? null : Long.valueOf(at));
                        String answer = "{\"offset\":" + offset + ",\"end_offset\":" + topic.end() + "}";
                        if (offset < 0) answer = "{\"end_offset\":" + topic.end() + "}";
                        reply(exchange, offset < 0 ? 412 : 200, answer.getBytes(StandardCharsets.UTF_8));
                    }
                    case "/api/log-read" -> {
                        long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
                        reply(exchange, 200, topic.read(Integer.parseInt(query.get("from_rev")), wait));
                    }
                    case "/api/log-newest" -> reply(exchange, 200, topic.newest().getBytes(StandardCharsets.UTF_8));
                    default -> reply(exchange, 404, new byte[0]);
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        private static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            if (body.length > 0) exchange.getResponseBody().write(body);
        }

        private static List<byte[]> split(byte[] body) {
            List<byte[]> records = new ArrayList<>();
            ByteBuffer buffer = ByteBuffer.wrap(body);
            while (buffer.hasRemaining()) {
                byte[] next = new byte[buffer.getInt()];
                buffer.get(next);
                records.add(next);
            }
            return records;
        }

        private static final class Topic {
            private final List<byte[]> records = new ArrayList<>();

            synchronized int end() {
                return records.size();
            }

            synchronized long append(List<byte[]> added, Long at) {
                if (at != null && at != records.size()) return -1;
                long offset = records.size();
                records.addAll(added);
                notifyAll();
                return offset;
            }

            synchronized byte[] read(int from, long wait) throws InterruptedException {
                long until = now() + wait;
                while (records.size() <= from && now() < until) wait(Math.max(1, until - now()));
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
                for (int offset = from; offset < records.size(); offset++) {
                    byte[] next = records.get(offset);
                    bytes.writeBytes(ByteBuffer.allocate(4).putInt(next.length).array());
                    bytes.writeBytes(next);
                }
                return bytes.toByteArray();
            }

            synchronized String newest() {
                Map<String, String> items = new LinkedHashMap<>();
                for (int offset = 0; offset < records.size(); offset++) {
                    byte[] next = records.get(offset);
                    String key = new String(next, 1, next[0], StandardCharsets.UTF_8);
                    byte[] value = java.util.Arrays.copyOfRange(next, 1 + next[0], next.length);
                    items.remove(key);
                    if (value.length > 0) {
                        String coded = Base64.getEncoder().encodeToString(value);
                        items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + coded + "\",\"offset\":" + offset + "}");
                    }
                }
                return "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end_offset\":" + records.size() + "}";
            }
        }
    }

    /** One direction pair of a link; a cut link holds all bytes back silently and takes new connections without an answer. */
    static final class Link {
        final String address;
        private final Lab lab;
        private final String target;
        volatile boolean cut;

        Link(Lab lab, String target) throws IOException {
            this.lab = lab;
            this.target = target;
            ServerSocket listener = new ServerSocket(0, 200, LOOPBACK);
            address = "127.0.0.1:" + listener.getLocalPort();
            lab.threads.execute(
                () -> {
                    while (true) {
                        try {
                            Socket accepted = listener.accept();
                            lab.threads.execute(() -> forward(accepted));
                        } catch (IOException exception) {
                            return;
                        }
                    }
                });
        }

        private void forward(Socket accepted) {
            try {
                while (cut) Lab.sleep(20);
                Socket onward = connect(target, 1_000);
                lab.threads.execute(() -> pump(accepted, onward));
                pump(onward, accepted);
            } catch (IOException | InterruptedException exception) {
                closeQuietly(accepted);
            }
        }

        private void pump(Socket from, Socket to) {
            byte[] buffer = new byte[65_536];
            try {
                while (true) {
                    int count = from.getInputStream().read(buffer);
                    while (cut) Lab.sleep(20);
                    if (count < 0) break;
                    to.getOutputStream().write(buffer, 0, count);
                }
            } catch (IOException | InterruptedException exception) {
                // The other direction is closed below.
            }
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    static Socket connect(String address, int timeout) throws IOException {
        Socket socket = new Socket();
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), timeout);
        return socket;
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // Nothing is left to do.
        }
    }

    /** A relay as a process, started with the command of the deploy file. */
    static final class Relay {
        final String name;
        final String callers = "127.0.0.1:" + freePort();
        final String readiness = "127.0.0.1:" + freePort();
        final String peers = "127.0.0.1:" + freePort();
        private final Lab lab;
        private final Path settings;
        private final Path output;
        private Process process;

        /** Whether the balancer sends new channels to it. */
        volatile boolean inRotation;

        Relay(Lab lab, String name, String zone) throws IOException {
            this.lab = lab;
            this.name = name;
            settings = lab.folder.resolve(name + ".json");
            output = lab.folder.resolve(name + ".log");
            write(zone, lab.store.address, peers);
            lab.threads.execute(this::probe);
        }

        void write(String zone, String store, String advertised) throws IOException {
            Files.writeString(
                settings,
                "{\"node\":\"" + name + "\",\"failureDomain\":\"" + zone + "\",\"callers\":\"" + callers
                    + "\",\"readiness\":\"" + readiness + "\",\"peers\":\"" + peers + "\",\"advertisedPeers\":\"" + advertised
                    + "\",\"store\":\"" + store + "\",\"stopSeconds\":8,\"drainMilliseconds\":2000,\"handOverMilliseconds\":300,"
                    + "\"enginesRefuseOldFences\":true,\"processorShare\":0.75,\"linkMegabits\":1000.0,\"repetitionRatio\":0.2,"
                    + "\"repetitionsFixed\":56,\"repetitionWindowSeconds\":10,\"loadWindowSeconds\":5}");
        }

        void start() throws IOException {
            String line =
                Files.readAllLines(Path.of("deploy/system.toml")).stream().filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
            String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            List<String> words = new ArrayList<>(List.of(command.split(" ")));
            words.replaceAll(word -> word.equals("/etc/plantainturn/settings.json") ? settings.toString() : word);
            process = new ProcessBuilder(words).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile())).start();
            lab.log("relay %s started, process %d", name, process.pid());
        }

        /** Ends the process as SIGKILL does. */
        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        boolean isReady() {
            return status(readiness, "/api/readyz") == 200;
        }

        String output() throws IOException {
            return Files.readString(output);
        }

        void awaitReady() throws InterruptedException {
            for (int tries = 0; tries < 300 && !isReady(); tries++) Lab.sleep(50);
            if (!isReady()) throw new NotPlayed(name + " is not ready");
            inRotation = true;
        }

        /** Whether it holds the lease. */
        boolean isHolder() throws IOException {
            return output().contains("event=lease-granted") && !output().contains("event=lease-lost");
        }

        /** The balancer's probe: two misses in a row take the relay out. */
        private void probe() {
            int misses = 0;
            try {
                while (true) {
                    misses = isReady() ? 0 : misses + 1;
                    if (misses == 0) inRotation = true;
                    if (misses >= 2) inRotation = false;
                    Lab.sleep(1_000);
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static int status(String address, String path) {
        try (Socket socket = connect(address, 300)) {
            socket.setSoTimeout(500);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return Message.readHead(new BufferedInputStream(socket.getInputStream())).status();
        } catch (IOException exception) {
            return 0;
        }
    }

    static String body(String address, String path) throws IOException {
        try (Socket socket = connect(address, 300)) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Message head = Message.readHead(input);
            return new String(input.readNBytes(Integer.parseInt(head.header("content-length", "0"))), StandardCharsets.UTF_8);
        }
    }

    /** The head of a request or an answer. */
    record Message(String first, Map<String, String> headers) {
        static Message readHead(InputStream input) throws IOException {
            String first = line(input);
            Map<String, String> headers = new LinkedHashMap<>();
            for (String next = line(input); !next.isEmpty(); next = line(input)) {
                int colon = next.indexOf(':');
                headers.put(next.substring(0, colon).toLowerCase(), next.substring(colon + 1).trim());
            }
            return new Message(first, headers);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String header(String name, String otherwise) {
            return headers.getOrDefault(name, otherwise);
        }

        static String line(InputStream input) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int next = input.read(); next != '\n'; next = input.read()) {
                if (next < 0) throw new IOException("closed");
                if (next != '\r') bytes.write(next);
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
    }

    /** A server of a service. It registers itself in the store and runs what it is sent. */
    static class Server {
        final String id;
        final String service;
        final String version;
        final String address;
        final AtomicLong runs = new AtomicLong();
        private final Lab lab;
        private final ServerSocket listener;
        private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
        private final long born = System.currentTimeMillis();
        private final String models;
        private final int slots;
        private volatile boolean registered;
        private volatile String state = "\"ready\"";
        volatile long plainMilliseconds = 20;
        volatile int events = 60;

        /** Whether it says in its answers that it leaves. */
        volatile boolean leaving;
        volatile long eventMilliseconds = 200;

        Server(Lab lab, String id, String service, String version, String models, int slots) throws IOException {
            this(lab, id, service, version, models, slots, 0);
        }

        /** Creates a server that listens at `port`, or at any free one if it is 0. */
        Server(Lab lab, String id, String service, String version, String models, int slots, int port) throws IOException {
            this.lab = lab;
            this.id = id;
            this.service = service;
            this.version = version;
            this.models = models;
            this.slots = slots;
            listener = new ServerSocket(port, 500, LOOPBACK);
            address = "127.0.0.1:" + listener.getLocalPort();
            lab.threads.execute(this::accept);
        }

        /** Enters the server into the store, again every 1.2 s until it is removed. */
        void register() {
            registered = true;
            lab.log("server %s of %s, version %s, registers", id, service, version);
            beat(0);
            lab.threads.execute(
                () -> {
                    try {
                        for (long number = 1; ; number++) {
                            Lab.sleep(1_200);
                            synchronized (this) {
                                if (!registered) return;
                                beat(number);
                            }
                        }
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                    }
                });
        }

        private void beat(long number) {
            lab.store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"hakata\",\"version\":\"" + version
                    + "\",\"slots\":" + slots + ",\"state\":" + state + ",\"cold_left_ms\":0,\"born\":" + born + ",\"stage\":\"unified\",\"models\":["
                    + models + "],\"seq\":" + number + "}");
        }

        /** The entry is removed; the server goes on with what it runs, and says in its answers that it leaves. */
        synchronized void removeEntry() {
            registered = false;
            leaving = true;
            lab.log("entry of server %s is removed", id);
            lab.store.put("keyed.servers", id, "");
        }

        /** Reports that the server is removed at short notice. */
        synchronized void announceRemoval(long remainingMilliseconds) {
            state = "\"draining\",\"remaining_ms\":" + remainingMilliseconds;
            leaving = true;
            lab.log("server %s reports that it is draining, %d ms remain", id, remainingMilliseconds);
            beat(1_000);
        }

        /** Resets all channels and takes no new ones. */
        synchronized void end() throws IOException {
            registered = false;
            lab.log("server %s is gone", id);
            listener.close();
            for (Socket channel : channels) {
                channel.setSoLinger(true, 0);
                channel.close();
            }
        }

        private void accept() {
            while (true) {
                try {
                    Socket channel = listener.accept();
                    channel.setTcpNoDelay(true);
                    channels.add(channel);
                    lab.threads.execute(() -> serve(channel));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket channel) {
            try (channel) {
                InputStream input = new BufferedInputStream(channel.getInputStream());
                OutputStream output = channel.getOutputStream();
                while (true) {
                    Message request = Message.readHead(input);
                    byte[] body = input.readNBytes(Integer.parseInt(request.header("content-length", "0")));
                    answer(request, body, output);
                    output.flush();
                }
            } catch (IOException | InterruptedException exception) {
                // The caller has left or the server is down.
            } finally {
                channels.remove(channel);
            }
        }

        private void answer(Message request, byte[] body, OutputStream output) throws IOException, InterruptedException {
            String expected = request.header("expect-instance", id);
            if (!expected.equals(id)) {
                send(output, "421 Misdirected Request", "Instance-Id: " + id + "\r\n" + mark(), new byte[0]);
            } else if (request.path().equals("/api/report")) {
                send(output, "200 OK", "Content-Type: application/json\r\n" + mark(), report().getBytes(StandardCharsets.UTF_8));
            } else if (request.path().equals("/api/order")) {
                lab.log("server %s gets order %s", id, new String(body, StandardCharsets.UTF_8));
                send(output, "200 OK", mark(), "{}".getBytes(StandardCharsets.UTF_8));
            } else if (request.headers().containsKey("model")) {
                stream(request, output);
            } else {
                run(request, body, output);
            }
        }

        private String report() {
            return "{\"stage\":\"unified\",\"models\":[" + models + "],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":0,\"kv_used\":0,"
                + "\"kv_total\":298064,\"handles\":0,\"born\":" + born + "}";
        }

        /** Runs a request that is no stream. */
        void run(Message request, byte[] body, OutputStream output) throws IOException, InterruptedException {
            String attempt = request.header("attempt-id", "");
            runs.incrementAndGet();
            lab.log("server %s runs %s of %d bytes", id, attempt, body.length);
            Lab.sleep(plainMilliseconds);
            send(output, "200 OK", own(attempt), ("done " + attempt).getBytes(StandardCharsets.UTF_8));
        }

        private void stream(Message request, OutputStream output) throws IOException, InterruptedException {
            String attempt = request.header("attempt-id", "");
            int after = Integer.parseInt(request.header("last-event-id", "0"));
            runs.incrementAndGet();
            lab.log("server %s of version %s runs %s after event %d", id, version, attempt, after);
            write(output, "HTTP/1.1 200 OK\r\n" + own(attempt) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int number = after + 1; number <= events; number++) {
                Lab.sleep(eventMilliseconds);
                String event = "id: " + number + "\ndata: " + version + " " + id + " " + number + "\n\n";
                write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            write(output, "0\r\n\r\n");
        }

        private String own(String attempt) {
            return "Attempt-Id: " + attempt + "\r\nServer-Stamp: " + id + "." + attempt + "\r\n" + mark();
        }

        private String mark() {
            return leaving ? "Server-Leaving: 1\r\n" : "";
        }

        private static void send(OutputStream output, String status, String headers, byte[] body) throws IOException {
            write(output, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
            output.write(body);
        }

        private static void write(OutputStream output, String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
    }
}
