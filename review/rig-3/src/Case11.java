import java.util.ArrayList;
import java.util.List;

/** A machine that is cut off while it holds the lease takes streams of a new version up at servers of the old one. */
final class Case11 {
    private static final int STREAMS = 48;
    private static final int EVENTS = 40;

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig("review/11");
        rig.configure("[{\"name\":\"m\",\"weights_mb\":70000,\"load_s\":2,\"adapters\":0,\"adapter_mb\":1}]", 2);
        List<Rig.Engine> engines = new ArrayList<>();
        for (int number = 1; number <= 2; number++) engines.add(rig.new Engine("e" + number, "llm", "z1", "v1", 2, "m"));
        Rig.Engine added = rig.new Engine("e3", "llm", "z1", "v2", 2, "m");
        engines.add(added);
        for (Rig.Engine engine : engines) {
            engine.events = EVENTS;
            engine.eventPause = 100;
            if (engine != added) engine.register("ready");
        }
        for (int number = 1; number <= 3; number++) rig.startRelay("relay-" + number, "z" + number);
        rig.awaitReady(30_000);
        Rig.Relay issuer = rig.awaitIssuer(20_000);
        Rig.pause(6_000);
        issuer = rig.awaitIssuer(1_000);
        List<Rig.Relay> others = new ArrayList<>(rig.relays);
        others.remove(issuer);
        rig.note("issuer " + issuer.name);

        if (rig.trouble) {
            rig.note("cut " + issuer.name + " from the store and from the other machines");
            issuer.storeProxy.setSilent(true);
            issuer.peerProxy.setSilent(true);
        }
        long cutAt = rig.now();
        Rig.pause(300);
        added.register("ready");
        Rig.pause(900);
        List<Stream> streams = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Stream stream = new Stream(rig, "s" + number, EVENTS);
            streams.add(stream);
            Rig.Relay first = others.get(number % 2);
            // Retries reach other machines: every second one the machine that is cut off.
            Rig.Relay second = number / 2 % 2 == 0 ? issuer : others.get((number + 1) % 2);
            threads.add(Rig.thread("client-" + number, () -> {
                stream.attempt(first, "m");
                if (!stream.complete && stream.hasBegun()) stream.attempt(second, "m");
            }));
        }
        Rig.pause(1_500);
        rig.note("crash e3");
        added.crash();
        long left = 5_500 - (rig.now() - cutAt);
        Rig.pause(Math.max(0, left));
        if (rig.trouble) {
            rig.note("cut ends");
            issuer.storeProxy.setSilent(false);
            issuer.peerProxy.setSilent(false);
        }
        for (Thread thread : threads) thread.join(20_000);

        int mixed = 0;
        int ofNew = 0;
        int complete = 0;
        for (Stream stream : streams) {
            if (stream.versions.contains("v2")) ofNew++;
            if (stream.versions.size() > 1) mixed++;
            if (stream.complete) complete++;
        }
        String verdict = "streams=" + STREAMS + " withEventsOfV2=" + ofNew + " complete=" + complete + " ofTwoVersions="
            + mixed + " allowed=2";
        if (ofNew < 3) rig.finish(2, "too few streams at the new version: " + verdict);
        rig.finish(mixed > 2 ? 1 : 0, verdict);
    }
}
