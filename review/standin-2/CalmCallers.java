import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of a sound service beside the disruption: each keeps one connection and sends the next request after the
 * answer. Counts what two rules count: LOST, requests on a kept connection that were passed on to the service and whose
 * connection was closed without an answer; and CONFIG, requests that last longer than the time-out of their route and
 * have no final answer half a second after it.
 */
final class CalmCallers {
    static final String ROUTE = "{\"name\":\"r-calm\",\"host\":\"a.example\",\"path-prefix\":\"/calm/\",\"kind\":"
        + "\"idempotent\",\"service\":\"calm\",\"timeout-ms\":2000,\"target-latency-ms\":386,\"priority\":1,"
        + "\"max-attempts\":2,\"allow-anonymous\":false}";
    static final String SERVICE = "{\"name\":\"calm\",\"health-path\":\"/health\",\"max-connections\":100,"
        + "\"protocol\":\"h1\",\"tls\":false}";
    private static final double TIMEOUT_SECONDS = 2;
    private static final double SLACK_SECONDS = 0.5;
    private static final int DEADLINE_MILLISECONDS = 4_000;
    private static final int USUAL_SERVERS = 3;
    private static final int USUAL_WORK_MILLISECONDS = 300;

    private final Lab lab;
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean isStopping;
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();
    final AtomicInteger overTimeout = new AtomicInteger();
    final AtomicInteger unanswered = new AtomicInteger();

    CalmCallers(Lab lab) throws IOException {
        this(lab, USUAL_SERVERS, USUAL_WORK_MILLISECONDS);
    }

    /** Starts the service, with [servers] of six slots that take [workMilliseconds] for a request. */
    CalmCallers(Lab lab, int servers, int workMilliseconds) throws IOException {
        this.lab = lab;
        for (int i = 1; i <= servers; i++) {
            lab.new Server("calm-" + i, "calm", 6, (request, input, output) -> {
                Lab.readBody(input, request, 65_536, (bytes, count) -> {});
                run.add(request.header("X-Azuredale-Request-Id"));
                Lab.sleep(workMilliseconds);
                output.write(Lab.ascii(Lab.head(request, 200, "OK", "Content-Length: 2") + "ok"));
                output.flush();
                return true;
            });
        }
    }

    /** Starts [count] clients of the router at [port]. */
    void start(int port, int count) {
        for (int i = 1; i <= count; i++) {
            int number = i;
            threads.add(lab.daemon(() -> call(port, number)));
        }
    }

    /** Ends all clients after their current request. */
    void stop() throws InterruptedException {
        isStopping = true;
        for (Thread thread : threads) thread.join(2_000);
    }

    private void call(int port, int number) throws IOException {
        Lab.Client client = null;
        int sent = 0;
        int onConnection = 0;
        while (!isStopping) {
            String id = "calm-" + number + "-" + ++sent;
            try {
                if (client == null) {
                    client = new Lab.Client(port);
                    onConnection = 0;
                }
                client.send("GET", "/calm/x", Map.of("Host", "a.example", "X-Azuredale-Request-Id", id,
                    "X-Azuredale-Deadline-Ms", "" + DEADLINE_MILLISECONDS, "Authorization", "Token key0"), new byte[0]);
            } catch (IOException exception) {
                client = null;
                Lab.sleep(200);
                continue;
            }
            double sentAt = Lab.seconds();
            Lab.Message answer = client.read(DEADLINE_MILLISECONDS);
            onConnection++;
            double lasted = Lab.seconds() - sentAt;
            if (lasted > TIMEOUT_SECONDS) overTimeout.incrementAndGet();
            if (lasted > TIMEOUT_SECONDS + SLACK_SECONDS) unanswered.incrementAndGet();
            if (lasted > 1) lab.note("%s lasted %.1f s: status %d %s", id, lasted, answer.status, answer.end);
            if (answer.isComplete) {
                (answer.status == 200 ? answered : refused).incrementAndGet();
                if (answer.status != 200) Lab.sleep(100);
                if (!"close".equalsIgnoreCase(answer.header("Connection"))) continue;
            } else if (!answer.end.equals("no answer in time")) {
                boolean isCounted = onConnection > 1 && run.contains(id);
                if (isCounted) lost.incrementAndGet();
                lab.note("%s: %s, request %d on its connection, run by the service: %s%s", id, answer.end, onConnection,
                    run.contains(id), isCounted ? ", LOST" : "");
            }
            client.close();
            client = null;
        }
    }

    /** Whether eight requests or more, and over a quarter of those that lasted so long, broke the time-out. */
    boolean isTimeoutBroken() {
        return unanswered.get() >= 8 && unanswered.get() * 4 > overTimeout.get();
    }

    String summary() {
        return String.format(Locale.ROOT, "calm requests answered %d, refused %d, lost %d; longer than the time-out %d, "
            + "without an answer half a second after it %d", answered.get(), refused.get(), lost.get(), overTimeout.get(),
            unanswered.get());
    }
}
