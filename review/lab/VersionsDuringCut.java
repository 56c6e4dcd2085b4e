import java.util.List;

/**
 * The relay that holds the lease is cut off from the store and the other relay while a server of a newer software
 * version comes. It is taken away again at short notice, as planned, and clients take up its streams, some at the
 * relay that is cut off.
 */
final class VersionsDuringCut {
    private static final int OLD_SERVERS = 5;
    private static final int STREAMS = 96;
    private static final int RETRIES = 1;
    private static final long NOTICE_MILLISECONDS = 2_000;

    private VersionsDuringCut() {}

    public static void main(String[] arguments) {
        Lab.play(arguments, VersionsDuringCut::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.store.put("keyed.op", "config", Configurations.of(7));
        for (int number = 0; number < OLD_SERVERS; number++) {
            new Lab.Server(lab, "i-old-" + number, "taru-model", "v1", Configurations.MODEL, 64).register();
        }
        Lab.Relay holder = lab.relay("edge-1", "hakata");
        Lab.Relay other = lab.relay("edge-2", "kitakyu");
        Lab.Link toStore = new Lab.Link(lab, lab.store.address);
        Lab.Link fromPeers = new Lab.Link(lab, holder.peers);
        Lab.Link toPeer = new Lab.Link(lab, other.peers);
        List<Lab.Link> links = List.of(toStore, fromPeers, toPeer);
        holder.write("hakata", toStore.address, fromPeers.address);
        other.write("kitakyu", lab.store.address, toPeer.address);
        holder.start();
        holder.awaitReady();
        Lab.sleep(2_000);
        other.start();
        other.awaitReady();
        Lab.sleep(4_000);
        if (!holder.isHolder()) throw new Lab.NotPlayed("edge-1 does not hold the lease");

        if (trouble) {
            lab.log("edge-1 is cut off from the store and the other relay");
            links.forEach(link -> link.cut = true);
        }
        Lab.Server newer = new Lab.Server(lab, "i-new", "taru-model", "v2", Configurations.MODEL, 64);
        newer.register();
        Lab.sleep(1_000);
        List<StreamCaller> callers = StreamCaller.start(lab, "c", STREAMS, 6, RETRIES, List.of(holder, other));
        newer.announceRemoval(NOTICE_MILLISECONDS);
        Lab.sleep(NOTICE_MILLISECONDS);
        newer.end();
        Lab.sleep(1_500);
        if (trouble) {
            links.forEach(link -> link.cut = false);
            lab.log("the cut of edge-1 heals");
        }
        Lab.sleep(13_000);
        boolean broken = StreamCaller.isVersionRuleBroken(lab, callers);
        if (callers.stream().noneMatch(caller -> caller.versions.contains("v2"))) throw new Lab.NotPlayed("no stream of the newer version");
        return broken;
    }
}
