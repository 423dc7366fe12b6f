import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 10: during a planned stop, clients that stop reading for three seconds lose streams of sound servers. */
final class PausedStreams {
    private static final int CLIENTS = 24;
    private static final int STREAM_BYTES = 3_000_000;

    /** A stream ends after 5 s, before the last sixth of the grace period of 8 s. */
    private static final int STREAM_BYTES_PER_SECOND = 600_000;
    private static final String PAUSE_FROM_SECONDS = "0.3";
    private static final String PAUSE_UNTIL_SECONDS = "3.5";
    private static final int DEADLINE_MILLISECONDS = 15_000;
    private static final int EVENTS_PER_WRITE = 10;

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
        lab.store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"a.example\",\"path-prefix\":"
            + "\"/chat/\",\"kind\":\"streaming\",\"service\":\"models\",\"timeout-ms\":15000,\"target-latency-ms\":400,"
            + "\"priority\":1,\"max-attempts\":1,\"allow-anonymous\":false,\"gap-aim-ms\":300}],\"services\":[{\"name\":"
            + "\"models\",\"health-path\":\"/health\",\"max-connections\":370,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"team\",\"api-keys\":[\"key0\"],\"priority\":1}]}");
        AtomicInteger begun = new AtomicInteger();
        for (int i = 1; i <= 3; i++) {
            lab.new Server("model-" + i, "models", 64, (request, input, output) -> {
                String id = request.header("X-Azuredale-Request-Id");
                Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                begun.incrementAndGet();
                output.write(Lab.ascii(Lab.head(request, 200, "OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")));
                try {
                    stream(output);
                    lab.note("the server has ended its stream to %s", id);
                } catch (java.io.IOException exception) {
                    lab.note("the router closed its connection to the server during the stream to %s", id);
                    return false;
                }
                return true;
            });
        }
        Lab.Router router = lab.new Router("r1", Map.of(), Map.of("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=280m -XX:ActiveProcessorCount=1"));
        router.awaitReady();
        lab.note("%d clients begin%s", CLIENTS, Lab.TROUBLE ? "; each reads nothing from " + PAUSE_FROM_SECONDS + " to "
            + PAUSE_UNTIL_SECONDS + " s after its request" : "");
        String from = Lab.TROUBLE ? PAUSE_FROM_SECONDS : "0";
        String until = Lab.TROUBLE ? PAUSE_UNTIL_SECONDS : "0";
        Process clients = lab.start("perl", "review/standin-2/slow-clients.pl", "" + router.front, "" + CLIENTS, "20",
            "1000000000", "20", "POST", "/chat/x", "" + DEADLINE_MILLISECONDS, "1", from, until);
        for (int i = 0; i < 50 && begun.get() < CLIENTS; i++) Lab.sleep(20);
        router.signal("TERM");
        clients.waitFor();
        String output = lab.output(clients);
        output.lines().forEach(line -> lab.note("client: %s", line));
        for (String line : router.lines("AZ-2201", "AZ-2202", "AZ-2213")) lab.note("router: %s", line);
        int complete = Lab.count(output, " complete status 200 ");
        int refused = Lab.count(output, " complete ") - complete;
        int lost = Lab.count(output, " cut ") + Lab.count(output, " broken");
        lab.note("streams complete %d, refused %d, cut %d of %d", complete, refused, lost, CLIENTS);
        return lost > 0 ? 1 : complete > CLIENTS / 2 ? 0 : 2;
    }

    private static void stream(java.io.OutputStream output) throws java.io.IOException {
        String padding = "x".repeat(980);
        long startedAt = System.nanoTime();
        int sent = 0;
        int id = 0;
        while (sent < STREAM_BYTES) {
            StringBuilder events = new StringBuilder();
            for (int i = 0; i < EVENTS_PER_WRITE; i++) {
                events.append("id: ").append(++id).append("\ndata: ").append(padding).append("\n\n");
            }
            output.write(Lab.ascii(Integer.toHexString(events.length()) + "\r\n" + events + "\r\n"));
            output.flush();
            sent += events.length();
            long early = sent * 1_000L / STREAM_BYTES_PER_SECOND - (System.nanoTime() - startedAt) / 1_000_000;
            if (early > 0) Lab.sleep(early);
        }
        output.write(Lab.ascii("0\r\n\r\n"));
        output.flush();
    }
}
