import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;

/** The holder of the lease is killed during a release; the streams that it had just begun can't be taken up again. */
final class Case11 {
    private static final int EVENTS = 13;
    private static final int RELAYS = 4;
    private static final int KILLS = 4;
    private static final int STREAMS_PER_SECOND = 160;
    private static final int LEAST_TAKEN_UP = 12;

    /** The first try and two more; the sheet has one retry. */
    private static final int TRIES = 3;

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig("review/11");
        rig.configure("[{\"name\":\"m\",\"weights_mb\":70000,\"load_s\":2,\"adapters\":0,\"adapter_mb\":1}]", 2);
        boolean isOneVersion = "1".equals(System.getenv("VERSIONS"));
        // Half of the servers are replaced already; two of each version serve all the while.
        for (int number = 1; number <= 4; number++) {
            Rig.Engine engine =
                rig.new Engine("e" + number, "llm", "z" + number % 3, number <= 2 || isOneVersion ? "v1" : "v2", 2, "m");
            engine.events = EVENTS;
            engine.eventPause = 20;
            engine.firstPause = 100;
            engine.register("ready");
        }
        for (int number = 1; number <= RELAYS; number++) rig.startRelay("relay-" + number, "z" + number % 3);
        rig.awaitReady(30_000);
        rig.awaitIssuer(20_000);
        Rig.pause(5_000);

        List<Stream> fresh = new CopyOnWriteArrayList<>();
        List<Stream> takenUp = new CopyOnWriteArrayList<>();
        List<Stream> goneOn = new CopyOnWriteArrayList<>();
        List<Rig.Relay> dead = new CopyOnWriteArrayList<>();
        ThreadFactory daemon = body -> {
            Thread thread = new Thread(body);
            thread.setDaemon(true);
            return thread;
        };
        ExecutorService clients = Executors.newFixedThreadPool(200, daemon);
        boolean[] stop = {false};
        Thread traffic = Rig.thread("traffic", () -> {
            Random random = new Random(1);
            for (int number = 0; !stop[0]; number++) {
                Rig.Relay relay = rig.relays.get(number % RELAYS);
                Stream stream = new Stream(rig, "s" + number, EVENTS);
                int seed = random.nextInt();
                if (!dead.contains(relay)) {
                    clients.execute(() -> play(rig, stream, relay, new Random(seed), dead, fresh, takenUp, goneOn));
                }
                Rig.pause(1_000 / STREAMS_PER_SECOND);
            }
        });
        Rig.pause(6_000);
        for (int kill = 0; kill < KILLS; kill++) {
            Rig.Relay issuer = rig.awaitIssuer(5_000);
            rig.note("issuer " + issuer.name);
            if (rig.trouble) {
                rig.note("kill " + issuer.name);
                dead.add(issuer);
                issuer.kill();
                Rig.pause(1_000);
                issuer.start();
                rig.awaitReady(20_000);
                Rig.pause(3_000);
                dead.remove(issuer);
            }
            Rig.pause(5_000);
        }
        stop[0] = true;
        traffic.join();
        Rig.pause(4_000);

        long begun = fresh.stream().filter(Stream::hasBegun).count();
        double newShare = fresh.isEmpty() ? 0 : (double) begun / fresh.size();
        double upShare = takenUp.isEmpty() ? 1 : (double) goneOn.size() / takenUp.size();
        String verdict = String.format(java.util.Locale.ROOT,
            "newStreams=%d begun=%.3f takenUp=%d goneOn=%d share=%.3f", fresh.size(), newShare, takenUp.size(),
            goneOn.size(), upShare);
        if (newShare < 0.8) rig.finish(2, "new streams don't begin: " + verdict);
        if (rig.trouble && takenUp.size() < LEAST_TAKEN_UP) rig.finish(2, "too few taken up: " + verdict);
        rig.finish(takenUp.size() >= LEAST_TAKEN_UP && upShare < newShare / 2 ? 1 : 0, verdict);
    }

    /** Plays one stream. After a broken channel the client takes it up at another machine, and honours Retry-After. */
    private static void play(
        Rig rig, Stream stream, Rig.Relay relay, Random random, List<Rig.Relay> dead, List<Stream> fresh,
        List<Stream> takenUp, List<Stream> goneOn
    ) {
        stream.attempt(relay, "m");
        if (!dead.contains(relay)) fresh.add(stream);
        if (stream.complete || !stream.hasBegun()) return;
        takenUp.add(stream);
        List<Rig.Relay> others = new ArrayList<>(rig.relays);
        others.remove(relay);
        others.removeAll(dead);
        for (int attempt = 1; attempt < TRIES; attempt++) {
            Rig.Relay next = others.get(random.nextInt(others.size()));
            if (stream.attempt(next, "m")) {
                goneOn.add(stream);
                return;
            }
            Rig.pause(stream.retryAfter);
        }
    }
}
