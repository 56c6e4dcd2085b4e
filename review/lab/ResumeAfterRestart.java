import java.util.List;

/**
 * Servers of two software versions serve side by side. All relays are killed at once and start again, and clients take
 * up the streams that they had.
 */
final class ResumeAfterRestart {
    private static final int STREAMS = 32;
    private static final int RETRIES = 3;
    private static final int NEW_STREAMS = 20;
    private static final long CONTACT_MILLISECONDS = 3_000;
    private static final int LEAST_STREAMS = 12;

    private ResumeAfterRestart() {}

    public static void main(String[] arguments) {
        Lab.play(arguments, ResumeAfterRestart::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.store.put("keyed.op", "config", Configurations.of(7));
        boolean oneVersion = "1".equals(System.getenv("VERSIONS"));
        for (int number = 0; number < 6; number++) {
            String version = number < 3 || oneVersion ? "v1" : "v2";
            new Lab.Server(lab, "i-model-" + number, "taru-model", version, Configurations.MODEL, 64).register();
        }
        List<Lab.Relay> relays = List.of(lab.relay("edge-1", "hakata"), lab.relay("edge-2", "kitakyu"));
        for (Lab.Relay relay : relays) relay.start();
        for (Lab.Relay relay : relays) relay.awaitReady();
        Lab.sleep(4_000);

        List<StreamCaller> callers = StreamCaller.start(lab, "c", STREAMS, 20, RETRIES, relays);
        Lab.sleep(1_500);
        if (callers.stream().anyMatch(caller -> caller.received() == 0)) throw new Lab.NotPlayed("a stream has no event");
        long startedAt = Lab.now();
        if (trouble) {
            lab.log("all relays are killed");
            for (Lab.Relay relay : relays) relay.kill();
            Lab.sleep(1_000);
            for (Lab.Relay relay : relays) relay.start();
            startedAt = Lab.now();
        }
        long inTouchFrom = startedAt + CONTACT_MILLISECONDS;
        Lab.sleep(inTouchFrom + 100 - Lab.now());
        lab.log("the relays are in touch");
        List<StreamCaller> others = StreamCaller.start(lab, "n", NEW_STREAMS, 200, RETRIES, relays);
        Lab.sleep(12_500);

        List<StreamCaller> resumed = callers.stream().filter(caller -> caller.tries.stream().anyMatch(next -> next.resumes() && next.at() >= inTouchFrom)).toList();
        long goingOn = resumed.stream().filter(caller -> caller.tries.stream().anyMatch(next -> next.resumes() && next.at() >= inTouchFrom && next.broughtEvents())).count();
        long begun = others.stream().filter(caller -> caller.received() > 0).count();
        long mixed = callers.stream().filter(caller -> caller.versions.size() > 1).count();
        lab.log("streams: %d, complete: %d, of two versions: %d", STREAMS, callers.stream().filter(caller -> caller.complete).count(), mixed);
        lab.log("taken up again at relays in touch: %d, of these go on: %d; new streams: %d, of these begin: %d", resumed.size(), goingOn, NEW_STREAMS, begun);
        return resumed.size() >= LEAST_STREAMS && 2.0 * goingOn / resumed.size() < (double) begun / NEW_STREAMS;
    }
}
