import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the platform's store, routers as separate processes, raw servers and raw clients. */
final class Lab implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";
    private static final long START = System.nanoTime();

    /** True unless the environment sets TROUBLE=0. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final PrintWriter record;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final Map<Process, Path> outputs = new ConcurrentHashMap<>();
    final Store store;

    Lab(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("azuredale-review");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    /** Writes one line with the time since the start, in seconds. */
    void note(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, arguments);
        synchronized (record) {
            record.println(line);
        }
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- routers

    /** A router process, started with the command of the deploy file. */
    final class Router {
        final String name;
        final int front;
        final int ready;
        final Path log;
        Process process;

        Router(String name, Map<String, String> overrides, Map<String, String> environment) throws IOException {
            this.name = name;
            front = freePort();
            ready = freePort();
            int directory = freePort();
            int control = freePort();
            int peer = freePort();
            Map<String, String> settings = new LinkedHashMap<>();
            settings.put("node", name);
            settings.put("role", "router");
            settings.put("machine-class", "edge");
            settings.put("serves", "edge,registry");
            settings.put("ip", LOOPBACK);
            settings.put("zone", "zone-a");
            settings.put("region", "region-a");
            settings.put("zones.zone-a", "region-a");
            settings.put("listen.front", LOOPBACK + ":" + front);
            settings.put("listen.ready", LOOPBACK + ":" + ready);
            settings.put("listen.directory", LOOPBACK + ":" + directory);
            settings.put("listen.control", LOOPBACK + ":" + control);
            settings.put("port-range", peer + "," + peer);
            settings.put("bootstrap", "true");
            settings.put("limits.cpu-share", "0.75");
            settings.put("limits.cores", "1");
            settings.put("limits.memory-mb", "280");
            settings.put("limits.max-fds", "4100");
            settings.put("limits.link-mbps", "1000.0");
            settings.put("discovery", "platform");
            settings.put("entry", "registry");
            settings.put("heartbeat-ms", "1200");
            settings.put("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,platform");
            settings.put("bounds.reuse-after-s", "2");
            settings.put("bounds.contact-ms", "3000");
            settings.put("bounds.drain-ms", "2000");
            settings.put("bounds.grace-s", "8");
            settings.put("bounds.loss-slack-ms", "200");
            settings.put("bounds.config-apply-ms", "2000");
            settings.put("bounds.rollback-slack-ms", "250");
            settings.put("bounds.max-skew-ms", "5000");
            settings.put("bounds.fail-closed", "true");
            settings.put("bounds.revoke-ms", "5000");
            settings.put("bounds.retry-budget-ratio", "0.2");
            settings.put("bounds.budget-window-s", "10");
            settings.put("bounds.retry-headroom", "54");
            settings.put("bounds.recover-s", "12");
            settings.put("bounds.ttl_max_s", "5");
            settings.put("platform.address", LOOPBACK + ":" + store.port);
            settings.put("platform.form", "kv");
            settings.put("platform.writes-per-s", "400");
            settings.put("platform.reads-per-s", "2000");
            settings.put("platform.history-s", "20");
            settings.put("platform.value-bytes", "1048576");
            settings.put("platform.ttl-min-ms", "1000");
            settings.putAll(overrides);
            StringBuilder text = new StringBuilder();
            settings.forEach((key, value) -> text.append(key).append('=').append(value).append('\n'));
            Path file = folder.resolve(name + ".conf");
            Files.writeString(file, text);
            log = folder.resolve(name + ".log");
            ProcessBuilder builder = new ProcessBuilder(deployCommand());
            Map<String, String> inherited = new HashMap<>(builder.environment());
            builder.environment().clear();
            for (String key : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (inherited.containsKey(key)) builder.environment().put(key, inherited.get(key));
            }
            builder.environment().put("AZUREDALE_SETTINGS", file.toString());
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            synchronized (processes) {
                processes.add(process);
            }
            note("router %s started as process %d, front port %d", name, process.pid(), front);
        }

        boolean isReady() {
            try (Client client = new Client(ready)) {
                client.send("GET", "/azuredale/ready", Map.of("Host", LOOPBACK), new byte[0]);
                return client.read(1_000).status == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300; i++) {
                if (isReady()) {
                    note("router %s is ready", name);
                    return;
                }
                if (!process.isAlive()) break;
                sleep(100);
            }
            throw new IllegalStateException("router " + name + " did not become ready");
        }

        void signal(String signal) throws IOException {
            note("SIG%s to router %s", signal, name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }

        /** Resident memory of the process; 0 if it has ended. */
        long residentKilobytes() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("\\D", ""));
                }
            } catch (IOException exception) {
                return 0;
            }
            return 0;
        }

        /** The router's log lines that contain one of [parts]. */
        List<String> lines(String... parts) throws IOException {
            List<String> found = new ArrayList<>();
            for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
                for (String part : parts) {
                    if (line.contains(part)) {
                        found.add(line);
                        break;
                    }
                }
            }
            return found;
        }
    }

    /** Starts a client program that ends with this one. */
    Process start(String... command) throws IOException {
        Path output = Files.createTempFile(folder, "client", ".out");
        Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile()).start();
        synchronized (processes) {
            processes.add(process);
        }
        outputs.put(process, output);
        return process;
    }

    /** What a client program has written. */
    String output(Process client) throws IOException {
        return Files.readString(outputs.get(client));
    }

    static int count(String text, String part) {
        return text.split(Pattern.quote(part), -1).length - 1;
    }

    /** The command of the role that carries the traffic, split at spaces as the platform does. */
    private static List<String> deployCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run\\s*=\\s*\"([^\"]*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) throw new IOException("deploy/system.toml names no command");
        return List.of(matcher.group(1).split(" "));
    }

    private void killAll() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(2, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    return;
                }
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.deleteIfExists(file);
            Files.deleteIfExists(folder);
        } catch (IOException exception) {
            // The folder is temporary.
        }
    }

    @Override
    public void close() {
        killAll();
        record.flush();
    }

    // ---------------------------------------------------------------- the platform's store

    /** The platform's store: keys with revisions, leases, and the answers that a router reads. */
    static final class Store {
        private record Item(byte[] value, long revision, long created, long lease) {}

        private static final int PAGE_ITEMS = 500;
        private static final int PAGE_BYTES = 1_048_576;

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private final HttpServer server;
        private long revision = 100;
        private long nextLease = 5000;
        final int port;

        /** Milliseconds by which each answer is delayed. */
        volatile long delay = 4;

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 128);
            server.setExecutor(java.util.concurrent.Executors.newCachedThreadPool(runnable -> {
                Thread thread = new Thread(runnable);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::handle);
            server.start();
            port = server.getAddress().getPort();
        }

        synchronized long put(String key, String value) {
            return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
        }

        synchronized long remove(String key) {
            if (items.remove(key) != null) revision++;
            return revision;
        }

        private long put(String key, byte[] value, long lease) {
            revision++;
            Item old = items.get(key);
            items.put(key, new Item(value, revision, old == null ? revision : old.created, lease));
            return revision;
        }

        private synchronized void expire() {
            long now = System.nanoTime() / 1_000_000;
            leases.values().removeIf(lease -> lease[0] < now);
            if (items.values().removeIf(item -> item.lease != 0 && !leases.containsKey(item.lease))) revision++;
        }

        private void handle(HttpExchange exchange) throws IOException {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            sleep(delay);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int at = part.indexOf('=');
                    query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
                }
            }
            expire();
            String[] answer = answer(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
            byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(Integer.parseInt(answer[0]), bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) exchange.getResponseBody().write(bytes);
            exchange.close();
        }

        private static String[] reply(int status, String body) {
            return new String[] {Integer.toString(status), body};
        }

        private String json(String key, Item item) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value)
                + "\",\"revision\":" + item.revision + ",\"create-rev\":" + item.created + ",\"lease\":" + item.lease
                + ",\"store-revision\":" + revision + "}";
        }

        private synchronized String[] answer(String method, String path, Map<String, String> query, String body) {
            if (path.equals("/azuredale/kv-key")) {
                Item item = items.get(query.get("key"));
                return item == null ? reply(404, "{}") : reply(200, json(query.get("key"), item));
            }
            if (path.equals("/azuredale/kv-range")) {
                String prefix = query.getOrDefault("path-prefix", "");
                String after = query.getOrDefault("after", "");
                List<String> found = new ArrayList<>();
                int bytes = 0;
                boolean hasMore = false;
                for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
                    if (!entry.getKey().startsWith(prefix)) continue;
                    hasMore = found.size() == PAGE_ITEMS || (bytes > 0 && bytes + entry.getValue().value.length > PAGE_BYTES);
                    if (hasMore) break;
                    found.add(json(entry.getKey(), entry.getValue()));
                    bytes += entry.getValue().value.length;
                }
                return reply(200, "{\"items\":[" + String.join(",", found) + "],\"more-pages\":" + hasMore
                    + ",\"store-revision\":" + revision + "}");
            }
            if (path.equals("/azuredale/kv-lease")) {
                long ttl = number(body, "ttl-ms");
                long lease = nextLease++;
                leases.put(lease, new long[] {System.nanoTime() / 1_000_000 + ttl, ttl});
                return reply(200, "{\"lease\":" + lease + ",\"ttl-ms\":" + ttl + "}");
            }
            if (path.startsWith("/azuredale/kv-keep/")) {
                long[] lease = leases.get(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
                if (lease == null) return reply(404, "{}");
                lease[0] = System.nanoTime() / 1_000_000 + lease[1];
                return reply(200, "{\"ttl-ms\":" + lease[1] + "}");
            }
            if (path.equals("/azuredale/kv-txn")) return transact(body);
            return reply(404, "{}");
        }

        /** Conditions and puts of the routers, which write one key at a time. */
        private String[] transact(String body) {
            Matcher expected = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}").matcher(body);
            while (expected.find()) {
                Item item = items.get(expected.group(1));
                if ((item == null ? 0 : item.revision) != Long.parseLong(expected.group(2))) {
                    return reply(412, "{\"items\":[" + (item == null ? "" : json(expected.group(1), item)) + "]}");
                }
            }
            Matcher puts = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"(?:,\"lease\":(\\d+))?\\}").matcher(body);
            while (puts.find()) {
                long lease = puts.group(3) == null ? 0 : Long.parseLong(puts.group(3));
                if (lease != 0 && !leases.containsKey(lease)) return reply(404, "{}");
                put(puts.group(1), Base64.getDecoder().decode(puts.group(2)), lease);
            }
            Matcher removed = Pattern.compile("\"remove\":\\[([^\\]]*)\\]").matcher(body);
            if (removed.find() && !removed.group(1).isEmpty()) {
                for (String key : removed.group(1).split(",")) remove(key.replace("\"", ""));
            }
            return reply(200, "{\"revision\":" + revision + "}");
        }

        private static long number(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
            if (!matcher.find()) throw new IllegalArgumentException(body);
            return Long.parseLong(matcher.group(1));
        }
    }

    // ---------------------------------------------------------------- messages

    /** A request or response with its body. */
    static final class Message {
        String first = "";
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Whether the message ended as its framing says. */
        boolean isComplete;

        /** How the message ended, for the record. */
        String end = "";

        String header(String name) {
            return headers.get(name);
        }
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            bytes.write(next);
        }
    }

    /** Reads the first line and the headers; null at the end of the connection. */
    static Message readHead(InputStream input) throws IOException {
        String first = line(input);
        if (first == null) return null;
        Message message = new Message();
        message.first = first;
        if (first.startsWith("HTTP/1.1 ")) message.status = Integer.parseInt(first.substring(9, 12));
        while (true) {
            String header = line(input);
            if (header == null) return message;
            if (header.isEmpty()) break;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
        }
        message.isComplete = true;
        return message;
    }

    /** Called after each part of a body. */
    interface OnPart {
        void read(byte[] bytes, int count) throws IOException;
    }

    /** Reads a body with a length or in chunks, in parts of at most [partBytes]. */
    static void readBody(InputStream input, Message message, int partBytes, OnPart onPart) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] part = new byte[partBytes];
        message.isComplete = false;
        try {
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(input);
                    if (size == null) return;
                    int left = Integer.parseInt(size.trim(), 16);
                    if (left == 0) {
                        line(input);
                        message.isComplete = true;
                        return;
                    }
                    if (!copy(input, left, part, body, onPart)) return;
                    line(input);
                }
            }
            String length = message.header("Content-Length");
            message.isComplete = copy(input, length == null ? 0 : Integer.parseInt(length), part, body, onPart);
        } finally {
            message.body = body.toByteArray();
            message.end = message.isComplete ? "complete" : "cut after " + message.body.length + " bytes";
        }
    }

    private static boolean copy(InputStream input, int count, byte[] part, ByteArrayOutputStream body, OnPart onPart)
        throws IOException {
        int left = count;
        while (left > 0) {
            int read = input.read(part, 0, Math.min(left, part.length));
            if (read < 0) return false;
            body.write(part, 0, read);
            onPart.read(part, read);
            left -= read;
        }
        return true;
    }

    // ---------------------------------------------------------------- clients

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream input;

        Client(int port) throws IOException {
            this(port, 0);
        }

        /** @param windowBytes size of the receive buffer, 0 for the usual one. */
        Client(int port, int windowBytes) throws IOException {
            socket = new Socket();
            if (windowBytes > 0) socket.setReceiveBufferSize(windowBytes);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            input = new BufferedInputStream(socket.getInputStream(), 4_096);
        }

        void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            OutputStream output = socket.getOutputStream();
            output.write(bytes.toByteArray());
            output.flush();
        }

        /** Reads a whole response; a broken connection shows as an incomplete one. */
        Message read(int timeoutMilliseconds) throws IOException {
            return read(timeoutMilliseconds, 65_536, (bytes, count) -> {});
        }

        Message read(int timeoutMilliseconds, int partBytes, OnPart onPart) throws IOException {
            socket.setSoTimeout(timeoutMilliseconds);
            Message message = new Message();
            try {
                Message head = readHead(input);
                if (head == null) {
                    message.end = "closed without an answer";
                    return message;
                }
                message = head;
                if (!head.isComplete) {
                    message.end = "closed within the head";
                    return message;
                }
                readBody(input, message, partBytes, onPart);
            } catch (java.net.SocketTimeoutException exception) {
                message.isComplete = false;
                message.end = "no answer in time";
            } catch (IOException exception) {
                message.isComplete = false;
                message.end = exception.getMessage() + " after " + message.body.length + " bytes";
            }
            return message;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---------------------------------------------------------------- servers

    /** Handles one request on a server's connection; returns whether the connection is kept. */
    interface Handler {
        boolean handle(Message request, InputStream input, OutputStream output) throws IOException;
    }

    /** A backend server on a port of its own, with one thread for each connection. */
    final class Server {
        final String id;
        final String service;
        final ServerSocket socket;
        final long born = System.currentTimeMillis();
        private final AtomicLong sequence = new AtomicLong();
        private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();

        Server(String id, String service, int slots, Handler handler) throws IOException {
            this(id, service, slots, 0, handler);
        }

        /** @param windowBytes size of the receive buffer, 0 for the usual one. */
        Server(String id, String service, int slots, int windowBytes, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            socket = new ServerSocket();
            if (windowBytes > 0) socket.setReceiveBufferSize(windowBytes);
            socket.bind(new InetSocketAddress(LOOPBACK, 0), 128);
            daemon(() -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    open.put(accepted, true);
                    daemon(() -> {
                        try (accepted) {
                            serve(accepted, handler);
                        } finally {
                            open.remove(accepted);
                        }
                    });
                }
            });
            register(slots, "ready");
        }

        void register(int slots, String state) {
            store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + LOOPBACK + ":"
                + socket.getLocalPort() + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"" + state + "\",\"cold-left-ms\":0,\"born\":" + born + ",\"sequence\":"
                + sequence.incrementAndGet() + "}");
        }

        private void serve(Socket accepted, Handler handler) throws IOException {
            InputStream input = new BufferedInputStream(accepted.getInputStream());
            OutputStream output = accepted.getOutputStream();
            while (true) {
                Message request = readHead(input);
                if (request == null) return;
                String expected = request.header("X-Azuredale-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    readBody(input, request, 65_536, (bytes, count) -> {});
                    output.write(("HTTP/1.1 421 Misdirected Request\r\nX-Azuredale-Instance-Id: " + id
                        + "\r\nX-Azuredale-Request-Id: " + request.header("X-Azuredale-Request-Id")
                        + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                if (!handler.handle(request, input, output)) return;
            }
        }
    }

    interface Action {
        void run() throws Exception;
    }

    /** Runs [action] in a thread that does not keep the program alive. */
    Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException exception) {
                // The other side has closed the connection.
            } catch (Exception exception) {
                note("failed: %s", exception);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The head of a server's response to [request]. */
    static String head(Message request, int status, String reason, String... fields) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason + "\r\n");
        head.append("X-Azuredale-Request-Id: ").append(request.header("X-Azuredale-Request-Id")).append("\r\n");
        head.append("X-Azuredale-Response-Stamp: 3e1b.07.").append(request.header("X-Azuredale-Request-Id")).append("\r\n");
        for (String field : fields) head.append(field).append("\r\n");
        return head.append("\r\n").toString();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
