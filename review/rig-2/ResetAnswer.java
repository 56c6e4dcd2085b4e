import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four servers answer long requests before they have read them, without a length, and read on later. One of them
 * crashes while it does.
 */
final class ResetAnswer {
    static final int SERVERS = 4;
    static final int CLIENTS = 8;
    static final int BODY_BYTES = 4_000_000;
    static final int ANSWER_BYTES = 800;
    static final int FIRST_PART = 300;

    public static void main(String[] args) throws Exception {
        Rig.main(args, ResetAnswer::run);
    }

    static boolean run(Rig rig) throws Exception {
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'a');
        Map<Integer, Set<String>> begun = new ConcurrentHashMap<>();
        List<Rig.Server> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            String name = "i-" + number;
            Set<String> here = ConcurrentHashMap.newKeySet();
            begun.put(number, here);
            // A small receive buffer stands for the small windows of the platform's links.
            Rig.Server server = new Rig.Server(0, 4_096, (socket, in, out) -> {
                Rig.Message request = Rig.Http.readHead(in);
                String id = request.header("Attempt-Id");
                out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " + name + "\r\n\r\n").getBytes());
                out.write(answer, 0, FIRST_PART);
                out.flush();
                here.add(id);
                rig.note("server " + name + " runs " + id + " and has sent " + FIRST_PART + " of " + ANSWER_BYTES + " bytes");
                Thread.sleep(2_000);
                Rig.Http.skipBody(request, in);
                out.write(answer, FIRST_PART, ANSWER_BYTES - FIRST_PART);
                out.flush();
                rig.note("server " + name + " has read the body of " + id + " and answered it");
                socket.shutdownOutput();
                while (in.read() >= 0) { }
            });
            servers.add(server);
            rig.store.put("keyed.servers", name, "{\"service\":\"ledger\",\"address\":\"127.0.0.1:" + server.port
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":"
                + System.currentTimeMillis() + "}");
        }
        rig.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/orders/\","
            + "\"route_kind\":\"non_idempotent\",\"timeout_ms\":10000,\"goal_ms\":3000,\"priority\":0,\"service\":\"ledger\",\"max_attempts\":1}],"
            + "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        Rig.Relay relay = rig.new Relay("relay-1");
        relay.awaitReady();
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            String id = "c" + number;
            Thread client = new Thread(() -> {
                try (Socket socket = Rig.connect(relay.callers, 1_000)) {
                    socket.setSoTimeout(12_000);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    socket.getOutputStream().write(("POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: 10000\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
                    socket.getOutputStream().write(body);
                    Rig.Message got = Rig.Http.read(in);
                    boolean success = got.status == 200 && got.whole;
                    if (success && got.body.length == ANSWER_BYTES) whole.incrementAndGet();
                    if (success && got.body.length != ANSWER_BYTES) wrong.incrementAndGet();
                    rig.note("client " + id + " status=" + got.status + " complete=" + got.whole + " Content-Length="
                        + got.header("Content-Length") + " bytes=" + got.body.length + " stamp=" + got.header("Server-Stamp"));
                } catch (IOException e) {
                    rig.note("client " + id + " no answer: " + e);
                }
            });
            client.start();
            clients.add(client);
            Thread.sleep(50);
        }
        rig.await(5, "all requests run", () -> begun.values().stream().mapToInt(Set::size).sum() == CLIENTS);
        Thread.sleep(500);
        if (rig.trouble) {
            int busiest = begun.keySet().stream().max((one, other) -> begun.get(one).size() - begun.get(other).size()).orElseThrow();
            rig.note("server i-" + busiest + " crashes while it answers " + begun.get(busiest));
            servers.get(busiest).close();
        }
        for (Thread client : clients) client.join();
        rig.note("requests=" + CLIENTS + " whole answers=" + whole + " successes with a part of the server's body=" + wrong);
        return wrong.get() == 0;
    }
}
