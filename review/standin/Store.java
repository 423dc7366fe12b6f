import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's store: keys, ranges, leases and transactions over HTTP. */
final class Store implements AutoCloseable {
    private static final class Item {
        byte[] value;
        long revision;
        long created;
        long lease;
    }

    private static final Pattern EXPECTED =
        Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}");
    private static final Pattern PUT =
        Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"(?:,\"lease\":(\\d+))?\\}");

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final HttpServer server;
    private long revision = 100;
    private long lastLease = 1000;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/azuredale/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes as the operator or a backend server would; the return is the confirmation. */
    synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) revision++;
    }

    private long write(String key, byte[] value, long lease) {
        Item item = items.computeIfAbsent(key, name -> new Item());
        item.value = value;
        item.lease = lease;
        item.revision = ++revision;
        if (item.created == 0) item.created = revision;
        return revision;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int at = pair.indexOf('=');
                query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        int[] status = {200};
        String answer = answer(path, query, body, status);
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status[0], bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized String answer(String path, Map<String, String> query, String body, int[] status) {
        expire();
        if (path.equals("/azuredale/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) status[0] = 404;
            return item == null ? "{}" : text(query.get("key"), item, ",\"store-revision\":" + revision);
        }
        if (path.equals("/azuredale/kv-range")) return range(query);
        if (path.equals("/azuredale/kv-txn")) return transact(body, status);
        if (path.equals("/azuredale/kv-lease")) {
            long time = Long.parseLong(body.replaceAll("\\D+", ""));
            leases.put(++lastLease, new long[] {System.currentTimeMillis() + time, time});
            return "{\"lease\":" + lastLease + ",\"ttl-ms\":" + time + "}";
        }
        if (path.startsWith("/azuredale/kv-keep/")) {
            long[] lease = leases.get(Long.parseLong(path.substring("/azuredale/kv-keep/".length())));
            if (lease == null) {
                status[0] = 404;
                return "{}";
            }
            lease[0] = System.currentTimeMillis() + lease[1];
            return "{\"ttl-ms\":" + lease[1] + "}";
        }
        status[0] = 404;
        return "{}";
    }

    private void expire() {
        long now = System.currentTimeMillis();
        leases.values().removeIf(lease -> lease[0] < now);
        if (items.values().removeIf(item -> item.lease != 0 && !leases.containsKey(item.lease))) revision++;
    }

    private String range(Map<String, String> query) {
        String prefix = query.get("path-prefix");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(after) > 0) found.add(text(key, item, ""));
        });
        return "{\"items\":[" + String.join(",", found) + "],\"more-pages\":false,\"store-revision\":" + revision + "}";
    }

    private String transact(String body, int[] status) {
        String expected = part(body, "expected-revision");
        Matcher condition = EXPECTED.matcher(expected);
        boolean holds = true;
        List<String> current = new ArrayList<>();
        while (condition.find()) {
            Item item = items.get(condition.group(1));
            long known = item == null ? 0 : item.revision;
            if (known != Long.parseLong(condition.group(2))) holds = false;
            if (item != null) current.add(text(condition.group(1), item, ""));
        }
        if (!holds) {
            status[0] = 412;
            return "{\"items\":[" + String.join(",", current) + "]}";
        }
        Matcher put = PUT.matcher(part(body, "puts"));
        while (put.find()) {
            long lease = put.group(3) == null ? 0 : Long.parseLong(put.group(3));
            if (lease != 0 && !leases.containsKey(lease)) {
                status[0] = 404;
                return "{}";
            }
            write(put.group(1), Base64.getDecoder().decode(put.group(2)), lease);
        }
        Matcher key = Pattern.compile("\"([^\"]+)\"").matcher(part(body, "remove"));
        while (key.find()) remove(key.group(1));
        return "{\"revision\":" + revision + "}";
    }

    private static String part(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\\[(.*?)\\]").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static String text(String key, Item item, String more) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value)
            + "\",\"revision\":" + item.revision + ",\"create-rev\":" + item.created + ",\"lease\":" + item.lease
            + more + "}";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
