import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An order to load a model gets no answer; its server crashes and starts again under its identifier, and carries the
 * order out 11.5 s after it was sent.
 */
final class LateOrder {
    static final int ENGINES = 6;
    static final int MODELS = 4 + 3 * (ENGINES - 1);

    public static void main(String[] args) throws Exception {
        Rig.main(args, LateOrder::run);
    }

    static boolean run(Rig rig) throws Exception {
        Map<String, Double> sizes = new LinkedHashMap<>();
        StringBuilder models = new StringBuilder();
        for (int number = 1; number <= MODELS; number++) {
            sizes.put(model(number), 72_700.0);
            if (number > 1) models.append(',');
            models.append("{\"name\":\"" + model(number) + "\",\"weights_mb\":72700.0,\"load_s\":1.2,\"adapters\":5,\"adapter_mb\":66.0,"
                + "\"warm_s\":0.4,\"disk_load_s\":0.6}");
        }
        // The first server has room for a third model; the others hold three each. One model has no place.
        Engine engine = new Engine(rig, "i-1", "assistant", 230_000, 5, sizes, 1.2, 0.6, new LinkedHashSet<>(List.of("m01", "m02")));
        List<String> elsewhere = new ArrayList<>();
        for (int number = 2; number <= ENGINES; number++) {
            Set<String> held = new LinkedHashSet<>();
            for (int place = 0; place < 3; place++) held.add(model(5 + (number - 2) * 3 + place));
            elsewhere.addAll(held);
            new Engine(rig, "i-" + number, "assistant", 230_000, 5, sizes, 1.2, 0.6, held);
        }
        rig.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/ask/\","
            + "\"route_kind\":\"streaming\",\"timeout_ms\":5000,\"goal_ms\":600,\"priority\":1,\"service\":\"assistant\",\"max_attempts\":1,"
            + "\"sticky\":true,\"resumable\":false,\"gap_goal_ms\":300}],"
            + "\"services\":[{\"name\":\"assistant\",\"health_path\":\"/healthz\",\"max_conns\":370,\"engine\":{\"slots\":64,\"kv_capacity\":280048,"
            + "\"models\":[" + models + "],\"weights_mb\":230000.0,\"adapter_slots\":5,\"loads_per_s\":2.1}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        Rig.Relay relay = rig.new Relay("relay-1");
        relay.awaitReady();
        Callers callers = new Callers(rig, relay);
        for (String other : elsewhere) callers.steadily(other);
        callers.steadily("m01");
        callers.steadily("m02");
        rig.await(10, "m01 and m02 are served", () -> callers.served("m01") > 5 && callers.served("m02") > 5);
        rig.await(10, "the third place is filled", () -> engine.models().size() == 3);
        rig.await(10, "an adapter is served", () -> callers.ask("m01/a1") == 200);
        String spare = engine.models().contains("m03") ? "m03" : "m04";
        String wanted = spare.equals("m03") ? "m04" : "m03";
        AtomicInteger late = new AtomicInteger();
        if (rig.trouble) {
            engine.fault = (order, ignored) -> order.contains("\"loading\"") && order.contains("\"" + wanted + "\"") && late.getAndIncrement() == 0 ? 11_500 : -1;
        }
        java.util.concurrent.atomic.AtomicBoolean asking = new java.util.concurrent.atomic.AtomicBoolean(true);
        Thread asks = new Thread(() -> {
            while (asking.get()) callers.ask(wanted);
        });
        asks.setDaemon(true);
        asks.start();
        if (rig.trouble) {
            rig.await(15, "the load of " + wanted + " is ordered", () -> late.get() > 0);
            asking.set(false);
            Thread.sleep(100);
            engine.crash("a crash of the server");
            // VARIANT=short shows that the order is remembered if the entry does not lapse meanwhile.
            Thread.sleep("short".equals(System.getenv("VARIANT")) ? 2_000 : 4_500);
            engine.start();
        } else {
            rig.await(15, wanted + " is loaded", () -> engine.models().contains(wanted));
            asking.set(false);
        }
        for (int number = 0; number < 3; number++) callers.steadily(spare);
        Thread.sleep(12_000);
        rig.note("served m01=" + callers.served("m01") + " m02=" + callers.served("m02") + " " + spare + "=" + callers.served(spare)
            + " overfilled=" + engine.overfilled);
        return engine.overfilled == 0;
    }

    private static String model(int number) {
        return String.format("m%02d", number);
    }

    /** Callers of the assistant, each request on a new connection. */
    static final class Callers {
        private final Rig rig;
        private final Rig.Relay relay;
        private final AtomicInteger numbers = new AtomicInteger();
        private final Map<String, AtomicInteger> served = new java.util.concurrent.ConcurrentHashMap<>();

        Callers(Rig rig, Rig.Relay relay) {
            this.rig = rig;
            this.relay = relay;
        }

        int served(String model) {
            AtomicInteger count = served.get(model);
            return count == null ? 0 : count.get();
        }

        void steadily(String model) {
            Thread thread = new Thread(() -> {
                while (true) {
                    ask(model);
                    try {
                        Thread.sleep(100);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        int ask(String model) {
            String id = "q" + numbers.incrementAndGet();
            int status = 0;
            try (Socket socket = Rig.connect(relay.callers, 1000)) {
                socket.setSoTimeout(6_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                socket.getOutputStream().write(("POST /ask/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 5000\r\nModel: "
                    + model + "\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800," + Integer.toHexString(0x1000000 + numbers.get())
                    + ":660\r\nContent-Length: 2\r\n\r\nhi").getBytes());
                Rig.Message answer = Rig.Http.read(in);
                status = answer.whole ? answer.status : 0;
            } catch (IOException e) {
                status = 0;
            }
            if (status == 200) served.computeIfAbsent(model, ignored -> new AtomicInteger()).incrementAndGet();
            rig.note("client " + id + " model=" + model + " status=" + status);
            return status;
        }
    }
}
