/** Configurations of a small deployment as the operator writes them. */
final class Configurations {
    static final String HOST = "desk.example";
    static final String MODEL = "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}";

    private Configurations() {}

    static String of(long version) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-batch\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/batch/\",\"route_kind\":\"streaming\",\"timeout_ms\":15000,"
            + "\"goal_ms\":6000,\"priority\":2,\"service\":\"taru-model\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_goal_ms\":300},"
            + "{\"name\":\"r-read\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/read/\",\"route_kind\":\"streaming\",\"timeout_ms\":5000,"
            + "\"goal_ms\":600,\"priority\":1,\"service\":\"taru-model\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_goal_ms\":300},"
            + "{\"name\":\"r-credit\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/credit/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":5000,"
            + "\"goal_ms\":1000,\"priority\":2,\"service\":\"deposit-ledger\",\"max_attempts\":1}],"
            + "\"services\":[{\"name\":\"taru-model\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kv_capacity\":298064,\"kv_token_bytes\":163840,\"models\":[{\"name\":\"m0\",\"weights_mb\":65100.0,"
            + "\"load_s\":7.6,\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.57,\"disk_load_s\":1.5}],\"weights_mb\":230000.0,"
            + "\"adapter_slots\":8,\"loads_per_s\":1.1}},"
            + "{\"name\":\"deposit-ledger\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** The head of a request for a stream; prompts of different callers have no part in common. */
    static String streamHead(String path, int caller) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nModel: m0\r\nToken-Usage: 900,240\r\nPrompt-Prefix: 5c1e" + (1_000 + caller) + ":600,91bd" + (1_000 + caller) + ":300\r\n";
    }
}
