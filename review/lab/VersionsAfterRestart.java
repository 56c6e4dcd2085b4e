import java.util.List;

/**
 * Two services are replaced by a newer software version one after the other. The model service has finished, the
 * ledger has not, when all relays are killed at once and start again. Clients take up their streams of the old version.
 */
final class VersionsAfterRestart {
    private static final int STREAMS = 32;
    private static final int RETRIES = 1;

    private VersionsAfterRestart() {}

    public static void main(String[] arguments) {
        Lab.play(arguments, VersionsAfterRestart::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.store.put("keyed.op", "config", Configurations.of(7));
        Lab.Server oldModel = new Lab.Server(lab, "i-old-model", "taru-model", "v1", Configurations.MODEL, 64);
        oldModel.register();
        new Lab.Server(lab, "i-old-ledger", "deposit-ledger", "v1", "", 6).register();
        List<Lab.Relay> relays = List.of(lab.relay("edge-1", "hakata"), lab.relay("edge-2", "kitakyu"));
        for (Lab.Relay relay : relays) relay.start();
        for (Lab.Relay relay : relays) relay.awaitReady();
        Lab.sleep(4_000);

        List<StreamCaller> callers = StreamCaller.start(lab, "c", STREAMS, 0, RETRIES, relays);
        Lab.sleep(1_500);
        new Lab.Server(lab, "i-new-model", "taru-model", "v2", Configurations.MODEL, 64).register();
        if (!"0".equals(System.getenv("SECOND_SERVICE"))) {
            new Lab.Server(lab, "i-new-ledger", "deposit-ledger", "v2", "", 6).register();
        }
        Lab.sleep(1_500);
        oldModel.removeEntry();
        Lab.sleep(1_000);
        if (callers.stream().anyMatch(caller -> caller.received() == 0)) throw new Lab.NotPlayed("a stream has no event");
        if (trouble) {
            lab.log("all relays are killed");
            for (Lab.Relay relay : relays) relay.kill();
            Lab.sleep(1_000);
            for (Lab.Relay relay : relays) relay.start();
        }
        Lab.sleep(14_000);
        boolean broken = StreamCaller.isVersionRuleBroken(lab, callers);
        if (!trouble && callers.stream().anyMatch(caller -> !caller.complete)) throw new Lab.NotPlayed("a stream breaks off without trouble");
        return broken;
    }
}
