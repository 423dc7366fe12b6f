import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** A few answers have no length and begin before a long body has been read; their channel is reset on the way. */
public final class AnswerResetDuringUpload extends Case {
    private static final int SERVERS = 4;
    /** Servers whose answers are cut, half of all. */
    private static final int GARBLING = 2;
    /** One answer in this number, 0.05. */
    private static final int GARBLED_ONE_IN = 20;
    private static final int PERIOD = 6_000;
    private static final int GARBLE = 5_000;
    private static final int UPLOAD_BYTES = 4_000_000;
    private static final int TIME_BUDGET = 4_000;
    private static final int GAP = 150;
    private static final int LENGTH = 40_000;
    private static final byte[] HALF = new byte[65_536];

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger early = new AtomicInteger();
    private long start;

    public static void main(String[] arguments) throws Exception {
        main(new AnswerResetDuringUpload(), arguments);
    }

    @Override
    boolean isBroken() throws Exception {
        Arrays.fill(HALF, (byte) 'a');
        ExecutorService threads = Executors.newCachedThreadPool();
        try (Store store = new Store()) {
            for (int server = 1; server <= SERVERS; server++) {
                int port = startServer(threads, server <= GARBLING);
                store.put("servers/i-" + server,
                    Platform.server("herd-registry", port, "south-a", 6, System.currentTimeMillis(), 1));
            }
            store.put("op/config", Platform.configuration(1, "herd-registry",
                Platform.route("tag", "non_idempotent", "herd-registry", TIME_BUDGET, 386, 1)));
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
        List<Future<Client.Answer>> requests = new ArrayList<>();
        for (int number = 1; milliseconds() < LENGTH; number++) {
            String id = "upload-" + number;
            requests.add(threads.submit(
                () -> Client.send(router, "POST", "/tag/x", id, TIME_BUDGET, new byte[UPLOAD_BYTES])));
            Thread.sleep(GAP);
        }
        int wrong = 0;
        for (int number = 1; number <= requests.size(); number++) {
            Client.Answer answer = requests.get(number - 1).get();
            boolean isSuccess = answer.status == 200 && answer.isWhole && answer.stamp != null;
            boolean isPart = isSuccess && answer.body.length < 2 * HALF.length;
            if (isPart) wrong++;
            if (isPart || !isSuccess) {
                record.line("upload-%d: client got %s, %d bytes of %d, complete by its Content-Length: %s", number, answer,
                    answer.body.length, 2 * HALF.length, answer.isWhole);
            }
        }
        record.line("requests: %d, early answers without a length: %d, of these reset on the way: %d, that came as complete"
            + " successes: %d", requests.size(), early.get(), trouble ? early.get() : 0, wrong);
        return wrong > 0;
    }

    private int milliseconds() {
        return (int) ((System.nanoTime() - start) / 1_000_000);
    }

    private int startServer(ExecutorService threads, boolean isGarbling) throws IOException {
        ServerSocket listener = new ServerSocket();
        // A server that reads in small pieces; the rest of the body waits in the router.
        listener.setReceiveBufferSize(16_384);
        listener.bind(new InetSocketAddress("127.0.0.1", 0));
        threads.submit(() -> {
            while (true) {
                Socket socket = listener.accept();
                threads.submit(() -> serve(socket, isGarbling));
            }
        });
        return listener.getLocalPort();
    }

    private Void serve(Socket socket, boolean isGarbling) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Http.Head head;
            while ((head = Http.readHead(input)) != null) {
                String id = head.header("X-Azuredale-Request-Id");
                String fields = "HTTP/1.1 200 OK\r\nX-Azuredale-Request-Id: " + id
                    + "\r\nX-Azuredale-Response-Stamp: 3e1b.07.5a2\r\n";
                boolean isEarly = isGarbling && milliseconds() % PERIOD < GARBLE
                    && answers.incrementAndGet() % GARBLED_ONE_IN == 0;
                if (isEarly) {
                    answerEarly(socket, input, output, head.length(), id, fields);
                    return null;
                }
                input.skipNBytes(head.length());
                Thread.sleep(60);
                output.write((fields + "Keep-Alive: timeout=5\r\nContent-Length: " + 2 * HALF.length + "\r\n\r\n").getBytes());
                output.write(HALF);
                output.write(HALF);
                output.flush();
            }
        }
        return null;
    }

    private void answerEarly(Socket socket, InputStream input, OutputStream output, int length, String id, String fields)
            throws IOException, InterruptedException {
        early.incrementAndGet();
        output.write((fields + "\r\n").getBytes());
        output.write(HALF);
        output.flush();
        Thread.sleep(200);
        if (trouble) {
            record.line("%s: server wrote %d of %d bytes and resets the channel", id, HALF.length, 2 * HALF.length);
            socket.setSoLinger(true, 0);
            return;
        }
        input.skipNBytes(length);
        output.write(HALF);
        output.flush();
        record.line("%s: server read the whole body, wrote %d bytes and ends its channel", id, 2 * HALF.length);
    }
}
