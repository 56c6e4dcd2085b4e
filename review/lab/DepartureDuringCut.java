import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A relay is cut off from the store and the other relay. Meanwhile a server starts again under its id and leaves; the
 * relay passes on its answer that says so. After the cut the relay reads the entry of the server's last run.
 */
final class DepartureDuringCut {
    private static final String SERVICE = "deposit-ledger";
    private static final String LEAVES = "i-2";
    private static final long CUT_AT = 8_000;
    private static final long DOWN_MILLISECONDS = 800;
    private static final long LEAVES_AT = 10_000;
    private static final long LEAVES_BY = 11_200;
    private static final long HEALS_AT = 13_400;
    private static final long GONE_AT = 18_000;
    private static final long END = 20_000;
    private static final long DRAIN_MILLISECONDS = 2_000;
    private static final long GAP_MILLISECONDS = 12;

    private static final String CUT_CALLERS = "c";

    private final Lab lab;

    /** The servers that requests from the relay that is cut off have reached. */
    private final Set<Lab.Server> reached = ConcurrentHashMap.newKeySet();
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();

    private DepartureDuringCut(Lab lab) {
        this.lab = lab;
    }

    /** A request to the relay that was cut off: when it was sent and answered, and whether the answer was marked. */
    private record Call(long sentAt, long answeredAt, boolean saysLeaving) {}

    public static void main(String[] arguments) {
        Lab.play(arguments, (lab, trouble) -> new DepartureDuringCut(lab).run(trouble));
    }

    private boolean run(boolean trouble) throws Exception {
        lab.store.put("keyed.op", "config", Configurations.of(7));
        for (int number = 0; number < 2; number++) server("i-" + number, 0).register();
        Lab.Server first = server(LEAVES, 0);
        first.register();
        Lab.Relay cut = lab.relay("edge-1", "hakata");
        Lab.Relay other = lab.relay("edge-2", "kitakyu");
        Lab.Link toStore = new Lab.Link(lab, lab.store.address);
        Lab.Link fromPeers = new Lab.Link(lab, cut.peers);
        Lab.Link toPeer = new Lab.Link(lab, other.peers);
        List<Lab.Link> links = List.of(toStore, fromPeers, toPeer);
        cut.write("hakata", toStore.address, fromPeers.address);
        other.write("kitakyu", lab.store.address, toPeer.address);
        other.start();
        other.awaitReady();
        Lab.sleep(1_500);
        cut.start();
        cut.awaitReady();
        lab.threads.execute(() -> repeat(cut, CUT_CALLERS));
        lab.threads.execute(() -> repeat(other, "o"));
        Lab.sleep(CUT_AT - Lab.now());

        if (trouble) {
            lab.log("edge-1 is cut off from the store and the other relay");
            links.forEach(link -> link.cut = true);
        }
        Lab.sleep(300);
        first.end();
        Lab.sleep(DOWN_MILLISECONDS);
        Lab.Server second = server(first.id, Integer.parseInt(first.address.substring(first.address.indexOf(':') + 1)));
        second.register();
        Lab.sleep(LEAVES_AT - Lab.now());
        while (Lab.now() < LEAVES_BY && !reached.contains(second)) Lab.sleep(20);
        lab.log("server %s leaves", second.id);
        second.removeEntry();
        Lab.sleep(HEALS_AT - Lab.now());
        if (trouble) {
            links.forEach(link -> link.cut = false);
            lab.log("the cut of edge-1 heals");
        }
        Lab.sleep(GONE_AT - Lab.now());
        second.end();
        Lab.sleep(END - Lab.now());

        long toldAt = calls.stream().filter(Call::saysLeaving).mapToLong(Call::answeredAt).min().orElse(Long.MAX_VALUE);
        if (toldAt == Long.MAX_VALUE) throw new Lab.NotPlayed("edge-1 passed on no answer of the server that leaves");
        if (trouble && toldAt > HEALS_AT) throw new Lab.NotPlayed("edge-1 was told after the cut only");
        long late = calls.stream().filter(call -> call.saysLeaving && call.sentAt > toldAt + DRAIN_MILLISECONDS).count();
        lab.log("edge-1 passed on an answer with Server-Leaving at %d; requests that were sent over %d ms later and reached %s: %d (0 allowed)", toldAt, DRAIN_MILLISECONDS, second.id, late);
        return late > 0;
    }

    private Lab.Server server(String id, int port) throws IOException {
        Lab.Server server =
            new Lab.Server(lab, id, SERVICE, "v1", "", 6, port) {
                @Override
                void run(Lab.Message request, byte[] body, OutputStream output) throws IOException, InterruptedException {
                    if (request.header("attempt-id", "").startsWith(CUT_CALLERS)) reached.add(this);
                    super.run(request, body, output);
                }
            };
        server.plainMilliseconds = 60;
        return server;
    }

    private void repeat(Lab.Relay relay, String prefix) {
        try {
            for (int number = 0; Lab.now() < END - 1_500; number++) {
                String attempt = prefix + number;
                lab.threads.execute(() -> post(relay, attempt));
                Lab.sleep(GAP_MILLISECONDS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void post(Lab.Relay relay, String attempt) {
        long sentAt = Lab.now();
        String seen;
        try (Socket channel = Lab.connect(relay.callers, 1_000)) {
            channel.setSoTimeout(1_000);
            String head = "POST /credit/" + attempt + " HTTP/1.1\r\nHost: " + Configurations.HOST + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 1000\r\nContent-Length: " + attempt.length() + "\r\n\r\n" + attempt;
            channel.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream input = new BufferedInputStream(channel.getInputStream());
            Lab.Message answer = Lab.Message.readHead(input);
            input.readNBytes(Integer.parseInt(answer.header("content-length", "0")));
            boolean saysLeaving = answer.headers().containsKey("server-leaving");
            if (attempt.startsWith(CUT_CALLERS)) calls.add(new Call(sentAt, Lab.now(), saysLeaving));
            seen = answer.first() + (saysLeaving ? ", Server-Leaving" : "");
        } catch (IOException exception) {
            seen = exception.getMessage();
        }
        if (!seen.equals("HTTP/1.1 200 OK")) lab.log("caller of %s at %s: %s", attempt, relay.name, seen);
    }
}
