import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Timer;
import java.util.TimerTask;

/** Stand-in for a client: one request on a channel of its own, until the client's time budget is over. */
final class Client {
    /** How a request ended at the client. */
    static final class Answer {
        /** Status of the answer, 0 if there was none. */
        int status;
        String stamp;
        byte[] body = new byte[0];
        /** Whether the whole body came. */
        boolean isWhole;
        /** Whether the whole request had left the client. */
        boolean isSent;
        /** Whether the channel was still open, without an answer, when the time budget was over. */
        boolean isUnanswered;
        long milliseconds;
        String fault = "";

        @Override
        public String toString() {
            String end = isUnanswered ? "no answer" : status == 0 ? "no answer, " + fault : "status " + status;
            return end + (status != 0 && !isWhole ? " cut" : "") + " after " + milliseconds + " ms";
        }
    }

    private static final int SLICES = 20;
    private static final Timer TIMER = new Timer(true);

    private Client() {}

    static Answer send(Router router, String method, String path, String id, int budget, byte[] body) {
        return send(router, method, path, id, budget, "", body, 0);
    }

    /**
     * Sends a request.
     *
     * @param headers further header lines, each with its line end.
     * @param milliseconds time that the client's link takes for the body, at least.
     */
    static Answer send(Router router, String method, String path, String id, int budget, String headers, byte[] body,
            int milliseconds) {
        Answer answer = new Answer();
        long start = System.nanoTime();
        boolean[] isOver = {false};
        try (Socket socket = new Socket()) {
            // Clients allow a new channel one second.
            socket.connect(new InetSocketAddress("127.0.0.1", router.port()), 1_000);
            socket.setTcpNoDelay(true);
            TIMER.schedule(new TimerTask() {
                @Override
                public void run() {
                    isOver[0] = true;
                    try {
                        socket.close();
                    } catch (IOException ignored) {
                        // The client leaves in any case.
                    }
                }
            }, budget);
            OutputStream output = socket.getOutputStream();
            output.write((method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Azuredale-Request-Id: " + id
                + "\r\nX-Azuredale-Deadline-Ms: " + budget + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n").getBytes());
            if (milliseconds == 0) {
                output.write(body);
            } else {
                int slice = body.length / SLICES;
                for (int number = 0; number < SLICES; number++) {
                    output.write(body, number * slice, number < SLICES - 1 ? slice : body.length - number * slice);
                    Thread.sleep(milliseconds / SLICES);
                }
            }
            answer.isSent = true;
            InputStream input = socket.getInputStream();
            Http.Head head = Http.readHead(input);
            if (head == null) throw new IOException("channel closed");
            answer.status = head.status();
            answer.stamp = head.header("X-Azuredale-Response-Stamp");
            answer.body = input.readNBytes(head.length());
            answer.isWhole = answer.body.length == head.length();
        } catch (IOException | InterruptedException failure) {
            answer.isUnanswered = isOver[0];
            answer.fault = String.valueOf(failure.getMessage());
        }
        answer.milliseconds = (System.nanoTime() - start) / 1_000_000;
        return answer;
    }
}
