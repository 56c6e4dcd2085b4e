import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A model server as the pages describe it: reports, orders, streams, heartbeats in the store, a crash and a restart. */
final class Engine {
    static final long HEARTBEAT = 1_200;

    /** Decides what becomes of an order. */
    interface OrderFault {
        /** Returns after how many milliseconds the order is carried out without an answer; negative for a sound one. */
        long delayOf(String order, Engine engine);
    }

    final String id;
    final int port = Rig.freePort();
    private final Rig rig;
    private final String service;
    private final double weightMegabytes;
    private final int adapterSlots;
    private final Map<String, Double> sizes;
    private final double loadSeconds;
    private final double diskLoadSeconds;
    private final Map<String, Set<String>> held = new LinkedHashMap<>();
    private final Set<String> disk = new LinkedHashSet<>();
    private long sequence;
    private long fence = -1;
    private String changing;
    private long born;
    private int boot;
    private Rig.Server server;
    private long lastBeat;
    volatile OrderFault fault = (order, engine) -> -1;
    volatile int overfilled;
    volatile long eventPause = 20;

    Engine(Rig rig, String id, String service, double weightMegabytes, int adapterSlots, Map<String, Double> sizes,
           double loadSeconds, double diskLoadSeconds, Set<String> atStart) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.weightMegabytes = weightMegabytes;
        this.adapterSlots = adapterSlots;
        this.sizes = sizes;
        this.loadSeconds = loadSeconds;
        this.diskLoadSeconds = diskLoadSeconds;
        for (String model : atStart) {
            held.put(model, new LinkedHashSet<>());
            disk.add(model);
        }
        Thread heart = new Thread(this::beat);
        heart.setDaemon(true);
        heart.start();
        start();
    }

    synchronized void start() throws IOException {
        born = System.currentTimeMillis();
        boot++;
        server = new Rig.Server(port, 0, this::serve);
        rig.note("engine " + id + " starts boot=" + boot + " holds=" + held.keySet());
        write();
    }

    /** Ends at once; what it held and counted is gone, but not its disk. */
    synchronized void crash(String reason) {
        rig.note("engine " + id + " crashes: " + reason);
        try {
            server.close();
        } catch (IOException e) {
            rig.note("engine " + id + " " + e);
        }
        server = null;
        held.clear();
        sequence = 0;
        fence = -1;
        changing = null;
    }

    synchronized long sequence() {
        return sequence;
    }

    synchronized Set<String> models() {
        return new LinkedHashSet<>(held.keySet());
    }

    private synchronized boolean isUp() {
        return server != null;
    }

    /** Heartbeats; the store removes an entry after three intervals of silence. */
    private void beat() {
        boolean present = true;
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            long silence = (System.nanoTime() - lastBeat) / 1_000_000;
            if (isUp()) {
                present = true;
                if (silence >= HEARTBEAT) write();
            } else if (present && silence >= 3 * HEARTBEAT) {
                present = false;
                rig.store.put("keyed.servers", id, "");
                rig.note("store removes the entry of " + id);
            }
        }
    }

    private synchronized void write() {
        lastBeat = System.nanoTime();
        rig.store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" + boot
            + ",\"born\":" + born + ",\"stage\":\"unified\",\"models\":" + modelsText() + ",\"available\":" + copiesText() + "}");
    }

    private String modelsText() {
        return held.entrySet().stream().map(entry -> "{\"name\":\"" + entry.getKey() + "\",\"version\":1,\"adapters\":["
            + entry.getValue().stream().map(name -> "{\"name\":\"" + name + "\",\"version\":1}").collect(Collectors.joining(","))
            + "]}").collect(Collectors.joining(",", "[", "]"));
    }

    private String copiesText() {
        return disk.stream().map(name -> "{\"name\":\"" + name + "\",\"version\":1}")
            .collect(Collectors.joining(",", "{\"in_memory\":[],\"on_disk\":[", "]}"));
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Rig.Message request = Rig.Http.read(in);
            if (!request.whole) return;
            String path = request.first.split(" ")[1];
            String expected = request.header("Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                answer(out, "421 Misdirected Request", "", "");
            } else if (path.equals("/api/report")) {
                answer(out, "200 OK", "", report());
            } else if (path.equals("/api/order")) {
                String order = new String(request.body);
                long delay = fault.delayOf(order, this);
                if (delay >= 0) {
                    rig.note("engine " + id + " boot=" + boot + " leaves an order unanswered, to be carried out in " + delay + " ms: " + order);
                    Thread late = new Thread(() -> {
                        try {
                            Thread.sleep(delay);
                        } catch (InterruptedException e) {
                            return;
                        }
                        if (isUp()) rig.note("engine " + id + " boot=" + boot + " carries out late " + order + " -> " + order(order));
                    });
                    late.setDaemon(true);
                    late.start();
                    Thread.sleep(60_000);
                    return;
                }
                int status = order(order);
                rig.note("engine " + id + " boot=" + boot + " order " + order + " -> " + status);
                answer(out, status + " x", "", "");
            } else {
                run(request, out);
            }
        }
    }

    private synchronized String report() {
        return "{\"stage\":\"unified\",\"born\":" + born + ",\"models\":" + modelsText() + ",\"available\":" + copiesText()
            + ",\"busy\":" + (changing != null) + ",\"seq\":" + sequence
            + ",\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":280048,\"handles\":0,\"pending\":[]}";
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
        return matcher.find() && !matcher.group(1).equals("null") ? matcher.group(1) : null;
    }

    private synchronized int order(String json) {
        String model = field(json, "model");
        String adapter = field(json, "adapter");
        boolean loads = "loading".equals(field(json, "op"));
        String expected = field(json, "expected");
        long token = Long.parseLong(field(json, "fencing_token"));
        if (token < fence) return 412;
        fence = token;
        if (expected != null && Long.parseLong(expected) != sequence) return 409;
        if (adapter != null) {
            if (!held.containsKey(model)) return 400;
            boolean present = held.get(model).contains(adapter);
            if (loads == present) return 200;
            sequence++;
            if (loads) held.get(model).add(adapter);
            else held.get(model).remove(adapter);
            checkRoom(json);
            return loads ? 202 : 200;
        }
        if (changing != null) return 409;
        if (loads == held.containsKey(model)) return 200;
        sequence++;
        changing = model;
        if (loads) checkRoom(json);
        if (server == null) return 202;
        int current = boot;
        long duration = (long) (1000 * (loads ? disk.contains(model) ? diskLoadSeconds : loadSeconds : 0.05));
        Thread change = new Thread(() -> {
            try {
                Thread.sleep(duration);
            } catch (InterruptedException e) {
                return;
            }
            finish(model, loads, current);
        });
        change.setDaemon(true);
        change.start();
        return 202;
    }

    private synchronized void finish(String model, boolean loads, int ofBoot) {
        if (boot != ofBoot || server == null) return;
        changing = null;
        if (loads) {
            held.put(model, new LinkedHashSet<>());
            disk.add(model);
        } else {
            held.remove(model);
        }
        rig.note("engine " + id + " holds=" + held + " seq=" + sequence);
        write();
    }

    private void checkRoom(String order) {
        Set<String> models = new LinkedHashSet<>(held.keySet());
        if (changing != null) models.add(changing);
        double megabytes = models.stream().mapToDouble(sizes::get).sum();
        int adapters = held.values().stream().mapToInt(Set::size).sum();
        if (megabytes <= weightMegabytes && adapters <= adapterSlots) return;
        overfilled++;
        rig.note("LIMIT broken: engine " + id + " is ordered to hold models=" + models + " of " + megabytes + " MB, adapters=" + adapters
            + ", has " + weightMegabytes + " MB and " + adapterSlots + " places; order " + order);
        crash("overfilled");
    }

    private void run(Rig.Message request, OutputStream out) throws Exception {
        String attempt = request.header("Attempt-Id");
        String[] model = request.header("Model").split("/");
        boolean holds;
        synchronized (this) {
            holds = held.containsKey(model[0]) && (model.length == 1 || held.get(model[0]).contains(model[1]));
        }
        if (!holds) {
            answer(out, "421 Misdirected Request", "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n", "");
            return;
        }
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        for (int event = 1; event <= 4; event++) {
            Thread.sleep(eventPause);
            String text = "id: " + event + "\ndata: x\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    private static void answer(OutputStream out, String status, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body).getBytes());
        out.flush();
    }
}
