import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers make an answer of 600,000 bytes in two halves. One of seven turns slow, and later another one: the second half takes five times
 * as long, which is far within the time limit of the callers and the timeout of the route.
 */
final class SlowDownload {
    static final int SERVERS = 7;
    static final int CALLERS = 40;
    static final int HALF = 300_000;
    static final long WORK = 90;
    static final double SLOW = 5.0;
    static final double[] SLOW_FROM = {3.0, 10.0};
    static final double SLOW_FOR = 6.5;
    static final double LENGTH = 18.0;

    public static void main(String[] args) throws Exception {
        Rig.main(args, SlowDownload::run);
    }

    static boolean run(Rig rig) throws Exception {
        double start = rig.seconds();
        byte[] half = new byte[HALF];
        Arrays.fill(half, (byte) 'a');
        for (int number = 0; number < SERVERS; number++) {
            String name = "i-" + number;
            double slowFrom = number < SLOW_FROM.length ? SLOW_FROM[number] : Double.MAX_VALUE;
            Rig.Server server = new Rig.Server(0, 0, (socket, in, out) -> {
                while (true) {
                    Rig.Message request = Rig.Http.read(in);
                    if (!request.whole) return;
                    String id = request.header("Attempt-Id");
                    double now = rig.seconds() - start;
                    boolean slow = rig.trouble && now >= slowFrom && now < slowFrom + SLOW_FOR;
                    rig.note("server " + name + " runs " + id + " slow=" + slow);
                    out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " + name + "\r\nContent-Length: " + 2 * HALF
                        + "\r\n\r\n").getBytes());
                    out.write(half);
                    out.flush();
                    Thread.sleep(slow ? (long) (WORK * SLOW) : WORK);
                    out.write(half);
                    out.flush();
                    rig.note("server " + name + " has answered " + id);
                }
            });
            rig.store.put("keyed.servers", name, "{\"service\":\"ledger\",\"address\":\"127.0.0.1:" + server.port
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":"
                + System.currentTimeMillis() + "}");
        }
        rig.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/stock/\","
            + "\"route_kind\":\"idempotent\",\"timeout_ms\":10000,\"goal_ms\":100,\"priority\":0,\"service\":\"ledger\",\"max_attempts\":2}],"
            + "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        Rig.Relay relay = rig.new Relay("relay-1");
        relay.awaitReady();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            String name = "c" + number;
            Thread thread = new Thread(() -> {
                int count = 0;
                while (rig.seconds() - start < LENGTH) {
                    try (Socket socket = Rig.connect(relay.callers, 1000)) {
                        socket.setSoTimeout(12_000);
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        while (rig.seconds() - start < LENGTH) {
                            String id = name + "-" + count++;
                            socket.getOutputStream().write(("GET /stock/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                + "\r\nDeadline-Ms: 10000\r\n\r\n").getBytes());
                            double sent = rig.seconds();
                            Rig.Message answer = Rig.Http.read(in);
                            if (answer.whole) {
                                whole.incrementAndGet();
                            } else {
                                closed.incrementAndGet();
                                rig.note(String.format("client %s status=%d: the channel was closed after %d of %d bytes and %.3f s of 10",
                                    id, answer.status, answer.body.length, 2 * HALF, rig.seconds() - sent));
                                break;
                            }
                            Thread.sleep(100);
                        }
                    } catch (Exception e) {
                        closed.incrementAndGet();
                        rig.note("client " + name + " " + e);
                    }
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) thread.join();
        rig.note("whole answers=" + whole + " channels closed without a whole answer=" + closed);
        return closed.get() <= 3;
    }
}
