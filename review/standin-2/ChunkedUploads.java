import java.io.IOException;
import java.io.OutputStream;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 9: many users come at once with uploads in chunks over slow links; the router's process runs out of memory. */
final class ChunkedUploads {
    private static final int BODY_BYTES = 4_194_304;

    /** 10 Mbit/s for each upload. */
    private static final int UPLOAD_BYTES_PER_SECOND = 1_250_000;
    private static final double UPLOADS_PER_SECOND = 10;

    /** Uploads in the burst, as a multiple of the usual ones. */
    private static final double BURST_FACTOR = 1.7;
    private static final int BURST_MILLISECONDS = 3_000;
    private static final int DEADLINE_MILLISECONDS = 15_000;
    private static final int TEAMS = 16;
    private static final int CALM_CLIENTS = 24;
    private static final int CALM_SERVERS = 4;
    private static final int CALM_WORK_MILLISECONDS = 450;
    private static final int SECONDS_BEFORE = 8;
    private static final int SECONDS_AFTER = 10;

    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final Lab lab;
    private volatile double rate = UPLOADS_PER_SECOND;

    private ChunkedUploads(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(arguments[0])) {
            result = new ChunkedUploads(lab).run();
            lab.note("exit code %d", result);
        } finally {
            System.exit(result);
        }
    }

    private int run() throws Exception {
        StringBuilder teams = new StringBuilder();
        for (int i = 0; i < TEAMS; i++) {
            teams.append(i == 0 ? "" : ",").append("{\"name\":\"team" + i + "\",\"api-keys\":[\"key" + i + "\"],\"priority\":1}");
        }
        lab.store.put("op/config", "{\"version\":7,\"routes\":[" + CalmCallers.ROUTE + ",{\"name\":\"r-write\",\"host\":"
            + "\"a.example\",\"path-prefix\":\"/write/\",\"kind\":\"non_idempotent\",\"service\":\"files\",\"timeout-ms\":15000,"
            + "\"target-latency-ms\":386,\"priority\":1,\"max-attempts\":1,\"allow-anonymous\":false}],\"services\":["
            + CalmCallers.SERVICE + ",{\"name\":\"files\",\"health-path\":\"/health\",\"max-connections\":300,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[" + teams + "]}");
        for (int i = 1; i <= 4; i++) {
            lab.new Server("files-" + i, "files", 40, (request, input, output) -> {
                Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                output.write(Lab.ascii(Lab.head(request, 200, "OK", "Content-Length: 2") + "ok"));
                output.flush();
                return true;
            });
        }
        CalmCallers calm = new CalmCallers(lab, CALM_SERVERS, CALM_WORK_MILLISECONDS);
        // The platform reports the VM's memory and one core to the process.
        Lab.Router router = lab.new Router("r1", Map.of(), Map.of("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=280m -XX:ActiveProcessorCount=1"));
        router.awaitReady();
        calm.start(router.front, CALM_CLIENTS);
        lab.daemon(() -> uploadAll(router));
        report(router, calm, SECONDS_BEFORE);
        if (Lab.TROUBLE) {
            rate = UPLOADS_PER_SECOND * BURST_FACTOR;
            lab.note("the burst begins: %.1f uploads a second", rate);
        }
        report(router, calm, BURST_MILLISECONDS / 1_000);
        rate = UPLOADS_PER_SECOND;
        lab.note("%.1f uploads a second", rate);
        report(router, calm, SECONDS_AFTER);
        boolean hasEnded = !router.process.isAlive();
        if (hasEnded) lab.note("the router's process ended by itself with code %d", router.process.waitFor());
        Lab.sleep(500);
        calm.stop();
        for (String line : router.lines("AZ-2275", "AZ-2273", "Terminating")) lab.note("router: %s", line);
        lab.note("%s; %s", uploads(), calm.summary());
        if (accepted.get() + refused.get() == 0) return 2;
        return calm.lost.get() > 3 ? 1 : 0;
    }

    private void report(Lab.Router router, CalmCallers calm, int seconds) {
        for (int i = 0; i < seconds && router.process.isAlive(); i++) {
            lab.note("%s; %s; resident %d kB", uploads(), calm.summary(), router.residentKilobytes());
            Lab.sleep(1_000);
        }
    }

    private String uploads() {
        return String.format(Locale.ROOT, "uploads answered 200: %d, 503: %d, otherwise ended: %d", accepted.get(), refused.get(), other.get());
    }

    /** Begins an upload at regular times, whatever became of the earlier ones. */
    private void uploadAll(Lab.Router router) {
        double due = Lab.seconds();
        for (int number = 1; router.process.isAlive(); number++) {
            int upload = number;
            lab.daemon(() -> upload(router, upload));
            due += 1 / rate;
            if (due > Lab.seconds()) Lab.sleep((long) ((due - Lab.seconds()) * 1_000));
        }
    }

    private void upload(Lab.Router router, int number) {
        byte[] piece = new byte[65_536];
        double endsAt = Lab.seconds() + DEADLINE_MILLISECONDS / 1_000.0;
        try (Lab.Client client = new Lab.Client(router.front)) {
            OutputStream output = client.socket.getOutputStream();
            output.write(Lab.ascii("POST /write/x HTTP/1.1\r\nHost: a.example\r\nX-Azuredale-Request-Id: write-" + number
                + "\r\nX-Azuredale-Deadline-Ms: " + DEADLINE_MILLISECONDS + "\r\nAuthorization: Token key" + number % TEAMS
                + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
            long startedAt = System.nanoTime();
            for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
                output.write(Lab.ascii(Integer.toHexString(piece.length) + "\r\n"));
                output.write(piece);
                output.write(Lab.ascii("\r\n"));
                long early = sent * 1_000L / UPLOAD_BYTES_PER_SECOND - (System.nanoTime() - startedAt) / 1_000_000;
                if (early > 0) Lab.sleep(early);
            }
            output.write(Lab.ascii("0\r\n\r\n"));
            Lab.Message answer = client.read(Math.max(1, (int) ((endsAt - Lab.seconds()) * 1_000)));
            (answer.status == 200 ? accepted : answer.status == 503 ? refused : other).incrementAndGet();
        } catch (IOException exception) {
            other.incrementAndGet();
        }
    }
}
