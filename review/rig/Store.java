import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's store: the calls on keyed topics that the relay makes, one partition a topic. */
final class Store implements AutoCloseable {
    private final HttpServer server;
    private final Map<String, Topic> topics = new ConcurrentHashMap<>();

    /** While true, calls get no answer and do nothing. */
    volatile boolean silent;

    /** How long an answer takes, beyond the wait of a long read. */
    volatile long answerMilliseconds = 4;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Rig::daemonThread));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a record as a server, unless the store is silent; a server writes again with its next heartbeat. */
    void putAsServer(String key, String value) {
        if (!silent) put("keyed.servers", key, value);
    }

    /** Writes a record as the operator; a null value drops the key. */
    void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        topic(topic).append(List.of(record.array()), -1);
    }

    /** Returns the newest value of a key, null if there is none. */
    String newest(String topic, String key) {
        byte[] value = topic(topic).newest().get(key);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, unused -> new Topic());
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (silent) {
            Rig.sleep(60_000);
            return;
        }
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getQuery();
        if (raw != null) {
            for (String part : raw.split("&")) query.put(part.replaceAll("=.*", ""), part.replaceFirst("[^=]*=", ""));
        }
        Topic topic = topic(query.getOrDefault("topic", ""));
        switch (exchange.getRequestURI().getPath()) {
            case "/api/log-append" -> {
                long at = Long.parseLong(query.getOrDefault("at", "-1"));
                long offset = topic.append(split(body), at);
                String end = "\"end_offset\":" + topic.end();
                if (offset < 0) answer(exchange, 412, ("{" + end + "}").getBytes());
                else answer(exchange, 200, ("{\"offset\":" + offset + "," + end + "}").getBytes());
            }
            case "/api/log-read" -> {
                long from = Long.parseLong(query.get("from_rev"));
                byte[] read = topic.read(from, Long.parseLong(query.getOrDefault("wait_ms", "0")));
                if (read == null) answer(exchange, 410, "{\"first_offset\":0}".getBytes());
                else answer(exchange, 200, read);
            }
            case "/api/log-newest" -> answer(exchange, 200, topic.newestAsJson().getBytes());
            default -> answer(exchange, 404, new byte[0]);
        }
    }

    private void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        Rig.sleep(answerMilliseconds);
        if (silent) {
            Rig.sleep(60_000);
            return;
        }
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static List<byte[]> split(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<byte[]> records = new ArrayList<>();
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
        }
        return records;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private static final class Topic {
        /** What a read returns at most where it names no `max_size`, which counts kilobytes. */
        private static final int MOST_READ_BYTES = 1_024 * 1_024;

        private final List<byte[]> records = new ArrayList<>();

        synchronized long append(List<byte[]> added, long at) {
            if (at >= 0 && at != records.size()) return -1;
            long offset = records.size();
            records.addAll(added);
            notifyAll();
            return offset;
        }

        synchronized int end() {
            return records.size();
        }

        synchronized byte[] read(long from, long waitMilliseconds) throws IOException {
            if (from > records.size()) return null;
            long until = System.nanoTime() + waitMilliseconds * 1_000_000;
            try {
                while (from >= records.size() && until > System.nanoTime()) {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                }
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream output = new DataOutputStream(bytes);
            output.writeLong(records.size());
            output.writeLong(0);
            for (byte[] record : records.subList((int) Math.min(from, records.size()), records.size())) {
                if (bytes.size() > MOST_READ_BYTES) break;
                output.writeInt(record.length);
                output.write(record);
            }
            return bytes.toByteArray();
        }

        synchronized Map<String, byte[]> newest() {
            Map<String, byte[]> newest = new LinkedHashMap<>();
            for (byte[] record : records) {
                String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
                if (value.length == 0) newest.remove(key);
                else newest.put(key, value);
            }
            return newest;
        }

        synchronized String newestAsJson() {
            Map<String, Integer> offsets = new HashMap<>();
            for (int offset = 0; offset < records.size(); offset++) {
                byte[] record = records.get(offset);
                offsets.put(new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8), offset);
            }
            List<String> items = new ArrayList<>();
            newest().forEach((key, value) -> items.add("{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offsets.get(key) + "}"));
            return "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"end_offset\":" + records.size() + "}";
        }
    }
}
