import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers send the beginning of a second answer after a few complete answers. */
public final class ExtraBytesAfterAnswer extends Case {
    private static final int SERVERS = 3;
    /** Servers that send additional bytes: 0.6 of three, rounded down. */
    private static final int GARBLING = 1;
    private static final double GARBLED = 0.03;
    private static final double ERRORS = 0.14;
    private static final int PERIOD = 6_000;
    private static final int GARBLE = 5_000;
    private static final int EXTRA_BYTES = 40;
    private static final int GAP = 12;
    private static final int LENGTH = 90_000;

    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger garbled = new AtomicInteger();
    private final Random random = new Random(42);
    private long start;

    public static void main(String[] arguments) throws Exception {
        main(new ExtraBytesAfterAnswer(), arguments);
    }

    private record Sent(String id, Client.Answer answer) {}

    @Override
    boolean isBroken() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        try (Store store = new Store()) {
            for (int server = 1; server <= SERVERS; server++) {
                int port = startServer(threads, server <= GARBLING);
                store.put("servers/i-" + server,
                    Platform.server("herd-registry", port, "south-a", 6, System.currentTimeMillis(), 1));
            }
            store.put("op/config", Platform.configuration(1, "herd-registry",
                Platform.route("tag", "idempotent", "herd-registry", 2_000, 386, 1)));
            try (Router router = new Router(root, folder, "edge-1", "south-a", store)) {
                router.awaitReady();
                return play(router, threads);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private boolean play(Router router, ExecutorService threads) throws Exception {
        start = System.nanoTime();
        List<Future<Sent>> requests = new ArrayList<>();
        for (int number = 1; milliseconds() < LENGTH; number++) {
            String id = "lookup-" + number;
            requests.add(threads.submit(
                () -> new Sent(id, Client.send(router, "GET", "/tag/x", id, 4_000, new byte[0]))));
            Thread.sleep(GAP);
        }
        int wrong = 0;
        int failures = 0;
        for (Future<Sent> request : requests) {
            Sent sent = request.get();
            Client.Answer answer = sent.answer;
            int given = statuses.getOrDefault(sent.id, 0);
            if (given == 500) failures++;
            boolean isWrong = answer.stamp != null && answer.status != given;
            if (isWrong) {
                wrong++;
                record.line("%s: server answered %d \"failed\", client got %s with the server's stamp and the body \"%s\"",
                    sent.id, given, answer, new String(answer.body));
            } else if (answer.status != 200 && answer.status != 500) {
                record.line("%s: server answered %d, client got %s", sent.id, given, answer);
            }
        }
        record.line("requests: %d, failures of servers: %d, answers with additional bytes: %d, failures that came as"
            + " a success: %d", requests.size(), failures, garbled.get(), wrong);
        return wrong > 0;
    }

    private int milliseconds() {
        return (int) ((System.nanoTime() - start) / 1_000_000);
    }

    private int startServer(ExecutorService threads, boolean isGarbling) throws IOException {
        ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        threads.submit(() -> {
            while (true) {
                Socket socket = listener.accept();
                threads.submit(() -> serve(socket, isGarbling));
            }
        });
        return listener.getLocalPort();
    }

    private Void serve(Socket socket, boolean isGarbling) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Http.Head head;
            while ((head = Http.readHead(input)) != null) {
                input.skipNBytes(head.length());
                Thread.sleep(20);
                String id = head.header("X-Azuredale-Request-Id");
                boolean isFailure;
                boolean isGarbled;
                synchronized (random) {
                    isFailure = random.nextDouble() < ERRORS;
                    isGarbled = random.nextDouble() < GARBLED && isGarbling && trouble && milliseconds() % PERIOD < GARBLE;
                }
                String body = isFailure ? "failed" : "found";
                String answer = "HTTP/1.1 " + (isFailure ? "500 Internal Server Error" : "200 OK")
                    + "\r\nContent-Type: text/plain\r\nX-Azuredale-Request-Id: " + id
                    + "\r\nX-Azuredale-Response-Stamp: 3e1b.07.5a2\r\nKeep-Alive: timeout=5\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body;
                statuses.put(id, isFailure ? 500 : 200);
                if (isGarbled) {
                    garbled.incrementAndGet();
                    record.line("%s: server sends %d bytes more after its whole answer %s", id, EXTRA_BYTES,
                        isFailure ? 500 : 200);
                    answer += answer.substring(0, EXTRA_BYTES);
                }
                output.write(answer.getBytes());
                output.flush();
            }
        }
        return null;
    }
}
