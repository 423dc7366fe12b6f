import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A server begins an answer without a length before it has read a long body, and resets the channel on the way. */
public final class AnswerResetDuringUpload extends Case {
    private static final int REQUESTS = 10;
    private static final int UPLOAD_BYTES = 4_000_000;
    private static final int TIME_BUDGET = 4_000;
    private static final byte[] HALF = new byte[65_536];

    public static void main(String[] arguments) throws Exception {
        main(new AnswerResetDuringUpload(), arguments);
    }

    @Override
    boolean isBroken() throws Exception {
        Arrays.fill(HALF, (byte) 'a');
        ExecutorService threads = Executors.newCachedThreadPool();
        try (Store store = new Store(); ServerSocket listener = new ServerSocket()) {
            // A server that reads slowly; the rest of the body waits in the router.
            listener.setReceiveBufferSize(16_384);
            listener.bind(new InetSocketAddress("127.0.0.1", 0));
            threads.submit(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    threads.submit(() -> serve(socket));
                }
            });
            store.put("servers/i-1", Platform.server("herd-registry", listener.getLocalPort(), "south-a", 6,
                System.currentTimeMillis(), 1));
            store.put("op/config", Platform.configuration(1, "herd-registry",
                Platform.route("tag", "non_idempotent", "herd-registry", TIME_BUDGET, 386, 1)));
            try (Router router = new Router(root, folder, "edge-1", "south-a", store)) {
                router.awaitReady();
                int wrong = 0;
                for (int number = 1; number <= REQUESTS; number++) {
                    Client.Answer answer =
                        Client.send(router, "POST", "/tag/x", "upload-" + number, TIME_BUDGET, new byte[UPLOAD_BYTES]);
                    boolean isSuccess = answer.status == 200 && answer.isWhole && answer.stamp != null;
                    boolean isPart = isSuccess && answer.body.length < 2 * HALF.length;
                    if (isPart) wrong++;
                    record.line("upload-%d: client got %s, %d bytes of %d, complete by its Content-Length: %s%s", number,
                        answer, answer.body.length, 2 * HALF.length, answer.isWhole, isPart ? "  <- part as a whole" : "");
                }
                record.line("answers that were reset on the way and came as complete successes: %d of %d", wrong, REQUESTS);
                return wrong > 0;
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private Void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream input = socket.getInputStream();
            OutputStream output = socket.getOutputStream();
            Http.Head head = Http.readHead(input);
            if (head == null) return null;
            String id = head.header("X-Azuredale-Request-Id");
            output.write(("HTTP/1.1 200 OK\r\nX-Azuredale-Request-Id: " + id
                + "\r\nX-Azuredale-Response-Stamp: 3e1b.07.5a2\r\n\r\n").getBytes());
            output.write(HALF);
            output.flush();
            Thread.sleep(200);
            if (trouble) {
                record.line("%s: server wrote %d of %d bytes and resets the channel", id, HALF.length, 2 * HALF.length);
                socket.setSoLinger(true, 0);
                return null;
            }
            input.skipNBytes(head.length());
            output.write(HALF);
            output.flush();
            record.line("%s: server read the whole body, wrote %d bytes and ends its channel", id, 2 * HALF.length);
        }
        return null;
    }
}
