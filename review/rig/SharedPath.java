/** A request to another host crashes each server that runs it, and comes again. It has the same path as sound ones. */
public final class SharedPath {
    private SharedPath() {}

    public static void main(String[] arguments) {
        Rig.main(arguments, () -> {
            Lookups lookups = new Lookups(false);
            lookups.start();
            Rig.sleep(5_000);
            if (Rig.TROUBLE) lookups.sendFatal(20, 1_500);
            else Rig.sleep(30_000);
            return lookups.judgeFatal();
        });
    }
}
