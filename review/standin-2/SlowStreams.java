import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 8: clients read their streams slowly, until the router's event loop stands still and its process ends. */
final class SlowStreams {
    private static final int STREAMS = 300;
    private static final int STREAM_BYTES = 1_250_000;
    private static final int STREAM_BYTES_PER_SECOND = 50_000;
    private static final int SLOW_BYTES_PER_SECOND = 3_000;
    private static final int TEAMS = 16;
    private static final int CALM_CLIENTS = 16;
    private static final int SECONDS = 75;

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
        StringBuilder teams = new StringBuilder();
        for (int i = 0; i < TEAMS; i++) {
            teams.append(i == 0 ? "" : ",").append("{\"name\":\"team" + i + "\",\"api-keys\":[\"key" + i + "\"],\"priority\":1}");
        }
        lab.store.put("op/config", "{\"version\":7,\"routes\":[" + CalmCallers.ROUTE + ",{\"name\":\"r-chat\",\"host\":"
            + "\"a.example\",\"path-prefix\":\"/chat/\",\"kind\":\"streaming\",\"service\":\"models\",\"timeout-ms\":60000,"
            + "\"target-latency-ms\":400,\"priority\":1,\"max-attempts\":1,\"allow-anonymous\":false,\"gap-aim-ms\":300}],"
            + "\"services\":[" + CalmCallers.SERVICE + ",{\"name\":\"models\",\"health-path\":\"/health\","
            + "\"max-connections\":370,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[" + teams + "]}");
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        for (int i = 1; i <= 8; i++) {
            lab.new Server("model-" + i, "models", 64, (request, input, output) -> {
                Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                begun.incrementAndGet();
                output.write(Lab.ascii(Lab.head(request, 200, "OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")));
                stream(output);
                ended.incrementAndGet();
                return true;
            });
        }
        CalmCallers calm = new CalmCallers(lab);
        // The platform reports the VM's memory and one core to the process.
        Lab.Router router = lab.new Router("r1", Map.of(), Map.of("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=280m -XX:ActiveProcessorCount=1"));
        router.awaitReady();
        calm.start(router.front, CALM_CLIENTS);
        int rate = Lab.TROUBLE ? SLOW_BYTES_PER_SECOND : 1_000_000_000;
        lab.note("%d clients begin to read streams of %d bytes at %d bytes a second", STREAMS, STREAM_BYTES, rate);
        Process clients = lab.start("perl", "review/standin-2/slow-clients.pl", "" + router.front, "" + STREAMS, "20", "" + rate,
            "" + SECONDS, "POST", "/chat/x", "60000", "" + TEAMS);
        while (clients.isAlive() && router.process.isAlive()) {
            lab.note("streams begun %d, ended at their servers %d; %s; resident %d kB", begun.get(), ended.get(), calm.summary(),
                router.residentKilobytes());
            Lab.sleep(2_000);
        }
        boolean hasEnded = !router.process.isAlive();
        if (hasEnded) lab.note("the router's process ended by itself with code %d", router.process.waitFor());
        calm.stop();
        if (hasEnded) Lab.sleep(1_000);
        if (hasEnded) clients.destroyForcibly();
        clients.waitFor();
        String output = lab.output(clients);
        lab.note("%d streams complete, %d cut", Lab.count(output, " complete "), Lab.count(output, " cut ") + Lab.count(output, " broken"));
        for (String line : router.lines("AZ-2275", "AZ-2273", "Terminating", "AZ-2260", "AZ-2240")) lab.note("router: %s", line);
        lab.note("%s", calm.summary());
        if (!hasEnded && begun.get() < STREAMS / 2) return 2;
        return calm.isTimeoutBroken() ? 1 : 0;
    }

    private static void stream(java.io.OutputStream output) throws java.io.IOException {
        String padding = "x".repeat(980);
        long startedAt = System.nanoTime();
        int sent = 0;
        int id = 0;
        while (sent < STREAM_BYTES) {
            StringBuilder events = new StringBuilder();
            for (int i = 0; i < 20; i++) events.append("id: ").append(++id).append("\ndata: ").append(padding).append("\n\n");
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
