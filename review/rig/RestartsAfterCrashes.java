/** Servers of one service crash, three times one of them; then the relays are stopped and started in turn. */
public final class RestartsAfterCrashes {
    private RestartsAfterCrashes() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> {
            Lookups lookups = new Lookups(false);
            lookups.start();
            Rig.sleep(4_000);
            for (int crash = 0; crash < 3; crash++) {
                if (Rig.TROUBLE) lookups.crashes.incrementAndGet();
                Rig.sleep(7_000);
            }
            if (lookups.crashes.get() > 0) return Rig.COULD_NOT_RUN;
            for (Rig.Relay relay : lookups.relays) {
                relay.terminate();
                Rig.note("relay " + relay.name + " has stopped after SIGTERM");
                relay.start();
                Rig.awaitReady(java.util.List.of(relay));
            }
            Rig.sleep(5_000);
            return lookups.judge(15);
        });
    }
}
