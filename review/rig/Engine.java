import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** What a model server holds, reports and is ordered to do. It restarts empty, with a copy of its models on disk. */
final class Engine {
    static final int LOAD_MILLISECONDS = 1_500;
    private final Set<String> models = ConcurrentHashMap.newKeySet();
    private final Set<String> onDisk = ConcurrentHashMap.newKeySet();
    private boolean busy;
    private long sequence;
    private long fence;

    Engine(String model) {
        models.add(model);
        onDisk.add(model);
    }

    synchronized void restart() {
        models.clear();
        busy = false;
        sequence = 0;
        fence = 0;
    }

    boolean holds(String model) {
        return models.contains(model);
    }

    /** The fields of its entry and its report that tell what it holds. */
    String fields() {
        return ",\"stage\":\"unified\",\"models\":[" + models.stream()
            .map(model -> "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}").collect(Collectors.joining(","))
            + "],\"available\":{\"in_memory\":[],\"on_disk\":[" + onDisk.stream()
            .map(model -> "{\"name\":\"" + model + "\",\"version\":1}").collect(Collectors.joining(",")) + "]}";
    }

    /** Answers a report or an order; returns whether the request was one. */
    boolean control(Upstream server, Http connection, Http.Message request) throws IOException {
        String path = request.path();
        if (path.equals("/api/report")) {
            String report;
            synchronized (this) {
                report = "{\"born\":" + server.born() + fields() + ",\"busy\":" + busy + ",\"seq\":" + sequence
                    + ",\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":298064,\"handles\":0}";
            }
            reply(connection, 200, report);
            return true;
        }
        if (!path.equals("/api/order")) return false;
        String order = new String(request.body, StandardCharsets.UTF_8);
        String model = order.replaceAll(".*\"model\":\"([^\"]*)\".*", "$1");
        long expected = Long.parseLong(order.replaceAll(".*\"expected\":(\\d+).*", "$1"));
        long token = Long.parseLong(order.replaceAll(".*\"fencing_token\":(\\d+).*", "$1"));
        reply(connection, accept(order.contains("\"loading\""), model, expected, token), "{}");
        return true;
    }

    private synchronized int accept(boolean load, String model, long expected, long token) {
        if (token < fence) return 412;
        fence = token;
        if (expected != sequence || busy) return 409;
        if (load == models.contains(model)) return 200;
        sequence++;
        busy = true;
        long accepted = sequence;
        Rig.daemonThread(() -> {
            Rig.sleep(load ? LOAD_MILLISECONDS : 100);
            synchronized (this) {
                if (!busy || sequence != accepted) return;
                busy = false;
                if (load) models.add(model);
                else models.remove(model);
            }
        }).start();
        return 202;
    }

    private static void reply(Http connection, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        connection.write("HTTP/1.1 " + status + " Answer\nContent-Type: application/json\nContent-Length: " + bytes.length
            + "\n\n", bytes);
    }
}
