/** All open channels between the relays and the servers go silent once, without a reset, while new ones work. */
public final class SilentChannels {
    private SilentChannels() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> {
            Lookups lookups = new Lookups(true);
            lookups.start();
            Rig.sleep(6_500);
            if (Rig.TROUBLE) {
                int silenced = 0;
                for (Link link : lookups.links) silenced += link.silenceOpen();
                Rig.note(silenced + " channels between relays and servers go silent; new ones work");
            }
            Rig.sleep(10_000);
            return lookups.judge(20);
        });
    }
}
