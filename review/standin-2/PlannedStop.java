import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 10: a router is stopped while clients are still reading long answers; its process ends before they have them. */
final class PlannedStop {
    private static final int CLIENTS = 12;
    private static final int ANSWER_BYTES = 2_000_000;

    /** A client has its answer after 6.3 s, before the grace period of 8 s ends. */
    private static final int READ_BYTES_PER_SECOND = 320_000;
    private static final int DEADLINE_MILLISECONDS = 15_000;

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(arguments[0])) {
            result = run(lab);
            lab.note("exit code %d", result);
        } finally {
            System.exit(result);
        }
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-read\",\"host\":\"a.example\",\"path-prefix\":"
            + "\"/read/\",\"kind\":\"idempotent\",\"service\":\"files\",\"timeout-ms\":15000,\"target-latency-ms\":386,"
            + "\"priority\":1,\"max-attempts\":2,\"allow-anonymous\":false}],\"services\":[{\"name\":\"files\",\"health-path\":"
            + "\"/health\",\"max-connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"team\","
            + "\"api-keys\":[\"key0\"],\"priority\":1}]}");
        byte[] body = new byte[ANSWER_BYTES];
        Arrays.fill(body, (byte) 'x');
        AtomicInteger answered = new AtomicInteger();
        for (int i = 1; i <= 3; i++) {
            int number = i;
            lab.new Server("files-" + i, "files", 6, (request, input, output) -> {
                Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                output.write(Lab.ascii(Lab.head(request, 200, "OK", "Content-Length: " + ANSWER_BYTES)));
                output.write(body);
                output.flush();
                lab.note("server files-%d has answered %s", number, request.header("X-Azuredale-Request-Id"));
                answered.incrementAndGet();
                return true;
            });
        }
        Lab.Router router = lab.new Router("r1", Map.of(), Map.of("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=280m -XX:ActiveProcessorCount=1"));
        router.awaitReady();
        Process clients = lab.start("perl", "review/standin-2/slow-clients.pl", "" + router.front, "" + CLIENTS, "20",
            "" + READ_BYTES_PER_SECOND, "20", "GET", "/read/x", "" + DEADLINE_MILLISECONDS, "1");
        for (int i = 0; i < 50 && answered.get() < CLIENTS; i++) Lab.sleep(20);
        // A router that has just started may refuse a request as not run.
        if (answered.get() < CLIENTS / 2) {
            lab.note("only %d of %d requests were answered by the servers", answered.get(), CLIENTS);
            return 2;
        }
        if (Lab.TROUBLE) router.signal("TERM");
        double stoppedAt = Lab.seconds();
        boolean hasEnded = false;
        while (clients.isAlive()) {
            if (!hasEnded && !router.process.isAlive()) {
                hasEnded = true;
                lab.note("the router's process ended %.1f s after the signal, with code %d", Lab.seconds() - stoppedAt,
                    router.process.exitValue());
            }
            Lab.sleep(20);
        }
        String output = lab.output(clients);
        output.lines().forEach(line -> lab.note("client: %s", line));
        for (String line : router.lines("AZ-2201", "AZ-2202")) lab.note("router: %s", line);
        int complete = Lab.count(output, " complete status 200 ");
        int refused = Lab.count(output, " complete ") - complete;
        int lost = Lab.count(output, " cut status 200 ");
        lab.note("answers complete %d, refused %d, cut %d of %d", complete, refused, lost, CLIENTS);
        return lost > 0 ? 1 : complete >= CLIENTS / 2 ? 0 : 2;
    }
}
