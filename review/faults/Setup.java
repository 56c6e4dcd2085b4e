import java.util.ArrayList;
import java.util.List;

/** The operator's configuration of a case, and the deployments that several cases share. */
final class Setup {
    static final String HOST = "ledger.example";

    private Setup() {}

    /** Returns a route with one service; [extra] are further fields, each with a leading comma. */
    static String route(String prefix, String kind, int timeout, int goal, int attempts, String service, String extra) {
        return "{\"name\":\"r" + prefix.replace("/", "-") + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
            + "\",\"route_kind\":\"" + kind + "\",\"timeout_ms\":" + timeout + ",\"goal_ms\":" + goal
            + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts + extra + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false}";
    }

    /** Writes a version of the configuration as the operator. */
    static void configure(Store store, int version, List<String> routes, List<String> services) {
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
            + "],\"services\":[" + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    }

    /** Starts [count] relays and waits until they are ready. */
    static List<Rig.Relay> relays(Store store, int count) throws Exception {
        List<Rig.Relay> relays = new ArrayList<>();
        for (int number = 0; number < count; number++) relays.add(Rig.relay("relay-" + number, "zone-a", store.address()));
        for (Rig.Relay relay : relays) relay.start();
        Rig.awaitReady(relays);
        Rig.sleep(3_000);
        return relays;
    }
}
