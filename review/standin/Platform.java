import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Texts that the operator and the backend servers write into the store. */
final class Platform {
    private Platform() {}

    /** Tenants of the configuration. */
    static final int TENANTS = 16;

    /** A configuration of one service; {@code routes} are JSON objects. */
    static String configuration(int version, String service, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\""
            + service + "\",\"health-path\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
            + "\"idle-timeout-ms\":15000,\"tokens-per-s\":392000},\"tenants\":[" + IntStream.range(0, TENANTS)
                .mapToObj(tenant -> "{\"name\":\"tenant" + tenant + "\",\"api-keys\":[\"" + key(tenant, 0) + "\",\""
                    + key(tenant, 1) + "\"],\"priority\":1}").collect(Collectors.joining(",")) + "]}";
    }

    /** One of a tenant's two keys. */
    static String key(int tenant, int number) {
        return "asnmgkcuyj8pjb" + (char) ('a' + tenant) + "k" + number;
    }

    /** A route that needs no key. */
    static String route(String prefix, String kind, String service, int timeout, int target, int attempts) {
        return route(prefix, kind, service, timeout, target, attempts, true);
    }

    static String route(String prefix, String kind, String service, int timeout, int target, int attempts,
            boolean isOpen) {
        return "{\"name\":\"r-" + prefix + "\",\"host\":\"ficu95.example\",\"path-prefix\":\"/" + prefix
            + "/\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeout + ",\"target-latency-ms\":" + target
            + ",\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + attempts
            + ",\"allow-anonymous\":" + isOpen + ",\"sticky-sessions\":false,\"stream-resume\":false}";
    }

    static String server(String service, int port, String zone, int slots, long born, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":"
            + sequence + ",\"born\":" + born + "}";
    }
}
