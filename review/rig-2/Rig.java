import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
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
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the platform's store, relays as processes, a client on a raw socket, and the record. */
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path work;
    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    Rig(Path caseFolder) throws IOException {
        root = caseFolder.toAbsolutePath().getParent().getParent();
        work = Files.createTempDirectory("plantainturn-review-");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        store = new Store();
        note("trouble=" + trouble);
    }

    /** Writes one line to the record and to standard output. */
    synchronized void note(String line) {
        String stamped = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
        record.println(stamped);
        System.out.println(stamped);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** A relay that runs as a process, started with the command of the deploy file. */
    final class Relay {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        final int peers = freePort();
        private final Path settings;
        final Path log;
        Process process;

        Relay(String name) throws IOException {
            this.name = name;
            settings = work.resolve(name + ".json");
            log = work.resolve(name + ".log");
            Files.writeString(settings, String.format(Locale.ROOT,
                "{\"node\":\"%s\",\"failureDomain\":\"z1\",\"callers\":\"127.0.0.1:%d\",\"readiness\":\"127.0.0.1:%d\","
                    + "\"peers\":\"127.0.0.1:%d\",\"store\":\"127.0.0.1:%d\",\"stopSeconds\":8,"
                    + "\"drainMilliseconds\":2000,\"handOverMilliseconds\":300,\"enginesRefuseOldFences\":true,"
                    + "\"processorShare\":0.75,\"linkMegabits\":1000.0,\"repetitionRatio\":0.2,"
                    + "\"repetitionsFixed\":56,\"repetitionWindowSeconds\":10,\"loadWindowSeconds\":5}",
                name, callers, readiness, peers, store.port));
            start();
        }

        void start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!run.find()) throw new IOException("deploy/system.toml has no command");
            List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
            command.set(command.size() - 1, settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            processes.add(process);
            note("start relay=" + name + " pid=" + process.pid());
        }

        boolean isReady() {
            try (Socket socket = connect(readiness, 500)) {
                socket.setSoTimeout(500);
                socket.getOutputStream().write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                return Http.readHead(new BufferedInputStream(socket.getInputStream())).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            await(20, "relay " + name + " is ready", this::isReady);
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            note("signal relay=" + name + " signal=" + signal);
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; ends the case as one that could not run if it does not. */
    void await(double seconds, String what, Condition condition) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            if (condition.holds()) {
                note("reached: " + what);
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("not reached in time: " + what);
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static int freePort() {
        while (true) {
            int port = 20_000 + (int) (Math.random() * 12_000);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use.
            }
        }
    }

    static Socket connect(int port, int timeout) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(LOOPBACK, port), timeout);
        return socket;
    }

    @Override
    public void close() {
        for (Process process : processes) process.destroyForcibly();
        store.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs are in " + work);
            return;
        }
        try (var paths = Files.walk(work)) {
            paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.out.println("not removed: " + work);
        }
    }

    interface Body {
        /** Returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    /** Runs a case and ends this process with its exit status. */
    static void main(String[] args, Body body) throws Exception {
        int status;
        Rig rig = new Rig(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
        try {
            status = body.run(rig) ? 0 : 1;
        } catch (Exception e) {
            rig.note("could not run: " + e);
            e.printStackTrace(System.out);
            status = 2;
        }
        rig.note("exit " + status);
        System.exit(status);
    }

    /** The head of a request or an answer, and its body if it was read. */
    static final class Message {
        String first = "";
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** Whether the message ended as its framing says; false if its connection broke off. */
        boolean whole;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    static final class Http {
        static Message readHead(InputStream in) throws IOException {
            Message message = new Message();
            message.first = readLine(in);
            if (message.first.startsWith("HTTP/")) message.status = Integer.parseInt(message.first.split(" ")[1]);
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            return message;
        }

        /** Reads a message; throws if it ends before its head is complete. */
        static Message read(InputStream in) throws IOException {
            Message message = readHead(in);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                    for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                        copy(in, body, size);
                        readLine(in);
                    }
                    readLine(in);
                } else if (message.headers.containsKey("Content-Length")) {
                    copy(in, body, Integer.parseInt(message.header("Content-Length")));
                }
                message.whole = true;
            } catch (IOException e) {
                message.whole = false;
            }
            message.body = body.toByteArray();
            return message;
        }

        /** Reads the rest of a message with a length without keeping it; returns how many bytes came. */
        static int skipBody(Message message, InputStream in) throws IOException {
            int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
            byte[] buffer = new byte[65_536];
            for (int left = length; left > 0; ) {
                int count = in.read(buffer, 0, Math.min(left, buffer.length));
                if (count < 0) throw new IOException("ended with " + left + " bytes left");
                left -= count;
            }
            return length;
        }

        private static int chunkSize(InputStream in) throws IOException {
            return Integer.parseInt(readLine(in).trim(), 16);
        }

        private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
            byte[] buffer = new byte[65_536];
            for (int left = size; left > 0; ) {
                int count = in.read(buffer, 0, Math.min(left, buffer.length));
                if (count < 0) throw new IOException("ended with " + left + " bytes left");
                out.write(buffer, 0, count);
                left -= count;
            }
        }

        static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int value = in.read(); value != '\n'; value = in.read()) {
                if (value < 0) throw new IOException("connection ended");
                line.write(value);
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }
    }

    interface Handler {
        /** Handles one connection to a stand-in server. */
        void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A stand-in server: calls its handler for each connection. */
    static final class Server implements AutoCloseable {
        final int port;
        private final ServerSocket listener;
        private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

        Server(int port, int receiveBuffer, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            if (receiveBuffer > 0) listener.setReceiveBufferSize(receiveBuffer);
            listener.bind(new InetSocketAddress(LOOPBACK, port), 512);
            this.port = listener.getLocalPort();
            Thread acceptor = new Thread(() -> {
                while (true) {
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        open.add(socket);
                        Thread thread = new Thread(() -> {
                            try (socket) {
                                handler.handle(socket, new BufferedInputStream(socket.getInputStream()),
                                    new BufferedOutputStream(socket.getOutputStream()));
                            } catch (Exception e) {
                                // The peer closed the connection.
                            } finally {
                                open.remove(socket);
                            }
                        });
                        thread.setDaemon(true);
                        thread.start();
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            acceptor.setDaemon(true);
            acceptor.start();
        }

        /** Ends as a crashed process does: the listener closes and each open connection is reset. */
        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // It has just been closed.
                }
            }
        }
    }

    /** The platform's store: one partition a topic, conditional appends, long reads, the newest record of each key. */
    static final class Store {
        final int port;
        private final HttpServer server;
        private final Map<String, Topic> topics = new HashMap<>();

        private static final class Entry {
            final String key;
            final byte[] value;
            final byte[] bytes;

            Entry(byte[] bytes) {
                this.bytes = bytes;
                int length = bytes[0] & 0xff;
                key = new String(bytes, 1, length, StandardCharsets.UTF_8);
                value = Arrays.copyOfRange(bytes, 1 + length, bytes.length);
            }
        }

        private static final class Topic {
            final List<Entry> entries = new ArrayList<>();
        }

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 512);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/api/log-append", this::append);
            server.createContext("/api/log-read", this::read);
            server.createContext("/api/log-newest", this::newest);
            server.start();
            port = server.getAddress().getPort();
        }

        /** Writes a record as the operator or a server does; an empty value drops the key. */
        void put(String topic, String key, String value) {
            byte[] name = key.getBytes(StandardCharsets.UTF_8);
            byte[] content = value.getBytes(StandardCharsets.UTF_8);
            ByteBuffer bytes = ByteBuffer.allocate(1 + name.length + content.length);
            bytes.put((byte) name.length).put(name).put(content);
            Topic target = topic(topic);
            synchronized (target) {
                target.entries.add(new Entry(bytes.array()));
                target.notifyAll();
            }
        }

        /** Returns the newest value of a key, or an empty text. */
        String newestOf(String topic, String key) {
            Topic target = topic(topic);
            synchronized (target) {
                String found = "";
                for (Entry entry : target.entries) {
                    if (entry.key.equals(key)) found = new String(entry.value, StandardCharsets.UTF_8);
                }
                return found;
            }
        }

        private Topic topic(String name) {
            synchronized (topics) {
                return topics.computeIfAbsent(name, ignored -> new Topic());
            }
        }

        private static Map<String, String> query(HttpExchange exchange) {
            Map<String, String> found = new HashMap<>();
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                int at = pair.indexOf('=');
                found.put(pair.substring(0, at), pair.substring(at + 1));
            }
            return found;
        }

        private static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
            exchange.getResponseHeaders().set("Store-Era", "1");
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            if (body.length > 0) exchange.getResponseBody().write(body);
            exchange.close();
        }

        private void append(HttpExchange exchange) throws IOException {
            Map<String, String> query = query(exchange);
            ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
            List<Entry> added = new ArrayList<>();
            while (body.hasRemaining()) {
                byte[] bytes = new byte[body.getInt()];
                body.get(bytes);
                added.add(new Entry(bytes));
            }
            Topic topic = topic(query.get("topic"));
            int status;
            String answer;
            synchronized (topic) {
                int end = topic.entries.size();
                if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
                    status = 412;
                    answer = "{\"end_offset\":" + end + "}";
                } else {
                    topic.entries.addAll(added);
                    topic.notifyAll();
                    status = 200;
                    answer = "{\"offset\":" + end + ",\"end_offset\":" + topic.entries.size() + "}";
                }
            }
            reply(exchange, status, answer.getBytes());
        }

        private void read(HttpExchange exchange) throws IOException {
            Map<String, String> query = query(exchange);
            exchange.getRequestBody().readAllBytes();
            int from = Integer.parseInt(query.get("from_rev"));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
            Topic topic = topic(query.get("topic"));
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            synchronized (topic) {
                if (from > topic.entries.size()) {
                    reply(exchange, 410, "{\"first_offset\":0}".getBytes());
                    return;
                }
                for (long left = end - System.nanoTime(); from >= topic.entries.size() && left > 0; left = end - System.nanoTime()) {
                    try {
                        topic.wait(Math.max(1, left / 1_000_000));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                out.writeLong(topic.entries.size());
                out.writeLong(0);
                for (Entry entry : topic.entries.subList(from, topic.entries.size())) {
                    out.writeInt(entry.bytes.length);
                    out.write(entry.bytes);
                }
            }
            reply(exchange, 200, bytes.toByteArray());
        }

        private void newest(HttpExchange exchange) throws IOException {
            Map<String, String> query = query(exchange);
            exchange.getRequestBody().readAllBytes();
            Topic topic = topic(query.get("topic"));
            Map<String, String> items = new LinkedHashMap<>();
            int end;
            synchronized (topic) {
                end = topic.entries.size();
                for (int offset = 0; offset < end; offset++) {
                    Entry entry = topic.entries.get(offset);
                    if (entry.value.length == 0) {
                        items.remove(entry.key);
                    } else {
                        items.put(entry.key, "{\"key\":\"" + entry.key + "\",\"value\":\""
                            + Base64.getEncoder().encodeToString(entry.value) + "\",\"offset\":" + offset + "}");
                    }
                }
            }
            String answer = "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end_offset\":" + end + "}";
            reply(exchange, 200, answer.getBytes());
        }

        void close() {
            server.stop(0);
        }
    }
}
