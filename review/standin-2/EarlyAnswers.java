import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 7: in spells, half of the servers answer one in twenty of their long requests before they have read the body,
 * keep the connection and read on later. The router's process runs out of memory.
 */
final class EarlyAnswers {
    private static final int SERVERS = 4;

    /** Half of the servers answer early. */
    private static final int EARLY_SERVERS = 2;

    /** Of the requests of such a server, one in this number is answered early. */
    private static final int EARLY_PARTS = 20;

    /** Each spell of early answers lasts so long, and the next one begins after the pause. */
    private static final double SPELL_SECONDS = 5.5;
    private static final double PAUSE_SECONDS = 2.5;

    /** Time after which a server reads on. */
    private static final int READ_ON_MILLISECONDS = 60_000;

    /** Small, so that a peer that does not read blocks the writer, as on the platform's links. */
    private static final int WINDOW_BYTES = 16_384;
    private static final int BODY_BYTES = 4_194_304;
    private static final int UPLOADERS = 4;

    /** Of all uploaders together; with 4 MiB each below the 1,000 Mbit/s of a link. */
    private static final int UPLOADS_PER_SECOND = 25;
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
        lab.store.put("op/config", "{\"version\":7,\"routes\":[" + CalmCallers.ROUTE + ",{\"name\":\"r-write\",\"host\":"
            + "\"a.example\",\"path-prefix\":\"/write/\",\"kind\":\"non_idempotent\",\"service\":\"files\",\"timeout-ms\":4000,"
            + "\"target-latency-ms\":386,\"priority\":1,\"max-attempts\":1,\"allow-anonymous\":false}],\"services\":["
            + CalmCallers.SERVICE + ",{\"name\":\"files\",\"health-path\":\"/health\",\"max-connections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"team\",\"api-keys\":[\"key0\"],"
            + "\"priority\":1}]}");
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger early = new AtomicInteger();
        for (int i = 1; i <= SERVERS; i++) {
            boolean answersEarly = Lab.TROUBLE && i <= EARLY_SERVERS;
            AtomicInteger requests = new AtomicInteger();
            lab.new Server("files-" + i, "files", 6, WINDOW_BYTES, (request, input, output) -> {
                String id = request.header("X-Azuredale-Request-Id");
                if (answersEarly && isSpell() && requests.incrementAndGet() % EARLY_PARTS == 0) {
                    lab.note("early answer %d, to %s, whose body is read on in %d ms", early.incrementAndGet(), id, READ_ON_MILLISECONDS);
                    output.write(Lab.ascii(Lab.head(request, 413, "Payload Too Large", "Content-Length: 0")));
                    output.flush();
                    Lab.sleep(READ_ON_MILLISECONDS);
                    Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                    return true;
                }
                Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                whole.incrementAndGet();
                output.write(Lab.ascii(Lab.head(request, 200, "OK", "Content-Length: 2") + "ok"));
                output.flush();
                return true;
            });
        }
        CalmCallers calm = new CalmCallers(lab);
        // The platform reports the VM's memory and one core to the process.
        Lab.Router router = lab.new Router("r1", Map.of(), Map.of("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=280m -XX:ActiveProcessorCount=1"));
        router.awaitReady();
        calm.start(router.front, CALM_CLIENTS);
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger rejected = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        double endsAt = Lab.seconds() + SECONDS;
        List<Thread> uploaders = new ArrayList<>();
        for (int i = 1; i <= UPLOADERS; i++) {
            int number = i;
            uploaders.add(lab.daemon(() -> upload(lab, router, number, endsAt, accepted, rejected, other)));
        }
        while (router.process.isAlive() && Lab.seconds() < endsAt) {
            lab.note("%s; %s; resident %d kB", uploads(accepted, rejected, other), calm.summary(), router.residentKilobytes());
            Lab.sleep(2_000);
        }
        boolean hasEnded = !router.process.isAlive();
        if (hasEnded) lab.note("the router's process ended by itself with code %d", router.process.waitFor());
        for (Thread uploader : uploaders) uploader.join(6_000);
        calm.stop();
        for (String line : router.lines("AZ-2275", "AZ-2273", "Terminating", "AZ-2240")) lab.note("router: %s", line);
        lab.note("servers: read whole %d, answered early %d; %s", whole.get(), early.get(), uploads(accepted, rejected, other));
        lab.note("%s", calm.summary());
        if (whole.get() == 0) return 2;
        return calm.lost.get() > 3 ? 1 : 0;
    }

    private static boolean isSpell() {
        return Lab.seconds() % (SPELL_SECONDS + PAUSE_SECONDS) < SPELL_SECONDS;
    }

    private static String uploads(AtomicInteger accepted, AtomicInteger rejected, AtomicInteger other) {
        return String.format(Locale.ROOT, "uploads answered 200: %d, 413: %d, otherwise ended: %d", accepted.get(), rejected.get(),
            other.get());
    }

    private static void upload(Lab lab, Lab.Router router, int number, double endsAt, AtomicInteger accepted,
        AtomicInteger rejected, AtomicInteger other) {
        byte[] body = new byte[BODY_BYTES];
        Lab.Client client = null;
        int sent = 0;
        double startedAt = Lab.seconds();
        while (Lab.seconds() < endsAt && router.process.isAlive()) {
            double due = startedAt + (double) sent * UPLOADERS / UPLOADS_PER_SECOND;
            if (due > Lab.seconds()) Lab.sleep((long) ((due - Lab.seconds()) * 1_000));
            sent++;
            try {
                if (client == null) client = new Lab.Client(router.front);
                client.send("POST", "/write/x", Map.of("Host", "a.example", "X-Azuredale-Request-Id", "write-" + number + "-" + sent,
                    "X-Azuredale-Deadline-Ms", "4000", "Authorization", "Token key0"), body);
                Lab.Message answer = client.read(5_000);
                (answer.status == 200 ? accepted : answer.status == 413 ? rejected : other).incrementAndGet();
                if (answer.isComplete && !"close".equalsIgnoreCase(answer.header("Connection"))) continue;
                client.close();
            } catch (IOException exception) {
                other.incrementAndGet();
            }
            client = null;
        }
    }
}
