import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 6: clients read long answers slowly, until the router's process runs out of memory. */
final class SlowAnswers {
    private static final int CLIENTS = 80;
    private static final int ANSWER_BYTES = 2_000_000;

    /** A client has its answer after 13.3 s, within its time of 15 s. */
    private static final int SLOW_BYTES_PER_SECOND = 150_000;
    private static final int DEADLINE_MILLISECONDS = 15_000;
    private static final int START_GAP_MILLISECONDS = 50;
    private static final int CALM_CLIENTS = 16;

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
        lab.store.put("op/config", "{\"version\":7,\"routes\":[" + CalmCallers.ROUTE + ",{\"name\":\"r-read\",\"host\":"
            + "\"a.example\",\"path-prefix\":\"/read/\",\"kind\":\"idempotent\",\"service\":\"files\",\"timeout-ms\":15000,"
            + "\"target-latency-ms\":386,\"priority\":1,\"max-attempts\":2,\"allow-anonymous\":false}],\"services\":["
            + CalmCallers.SERVICE + ",{\"name\":\"files\",\"health-path\":\"/health\",\"max-connections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"team\",\"api-keys\":[\"key0\"],"
            + "\"priority\":1}]}");
        byte[] body = new byte[ANSWER_BYTES];
        Arrays.fill(body, (byte) 'x');
        AtomicInteger answered = new AtomicInteger();
        for (int i = 1; i <= 3; i++) {
            lab.new Server("files-" + i, "files", 6, (request, input, output) -> {
                Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                output.write(Lab.ascii(Lab.head(request, 200, "OK", "Content-Length: " + ANSWER_BYTES)));
                output.write(body);
                output.flush();
                answered.incrementAndGet();
                return true;
            });
        }
        CalmCallers calm = new CalmCallers(lab);
        // The platform reports the VM's memory and one core to the process.
        Lab.Router router = lab.new Router("r1", Map.of(), Map.of("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=280m -XX:ActiveProcessorCount=1"));
        router.awaitReady();
        calm.start(router.front, CALM_CLIENTS);
        Lab.sleep(2_000);
        int rate = Lab.TROUBLE ? SLOW_BYTES_PER_SECOND : 1_000_000_000;
        lab.note("%d clients begin to read answers of %d bytes at %d bytes a second", CLIENTS, ANSWER_BYTES, rate);
        Process clients = lab.start("perl", "review/standin-2/slow-clients.pl", "" + router.front, "" + CLIENTS,
            "" + START_GAP_MILLISECONDS, "" + rate, "30", "GET", "/read/x", "" + DEADLINE_MILLISECONDS, "1");
        while (clients.isAlive() && router.process.isAlive()) {
            lab.note("long answers sent by their servers %d; %s; resident %d kB", answered.get(), calm.summary(),
                router.residentKilobytes());
            Lab.sleep(500);
        }
        boolean hasEnded = !router.process.isAlive();
        if (hasEnded) lab.note("the router's process ended by itself with code %d", router.process.waitFor());
        Lab.sleep(1_000);
        calm.stop();
        if (hasEnded) clients.destroyForcibly();
        clients.waitFor();
        String output = lab.output(clients);
        output.lines().forEach(line -> lab.note("client: %s", line));
        for (String line : router.lines("AZ-2275", "AZ-2273", "Terminating", "AZ-2240")) lab.note("router: %s", line);
        lab.note("long answers complete %d, cut %d of %d", Lab.count(output, " complete "),
            Lab.count(output, " cut ") + Lab.count(output, " broken"), CLIENTS);
        lab.note("%s", calm.summary());
        if (!hasEnded && answered.get() < CLIENTS / 2) return 2;
        return calm.lost.get() > 3 ? 1 : 0;
    }
}
