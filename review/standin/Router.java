import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router process, started with the command of the deploy file. */
final class Router implements AutoCloseable {
    final String front;
    private final String ready;
    final Process process;
    private final Path log;

    /** Starts a router in the zone {@code zone}; {@code variables} are added to its environment. */
    Router(Path root, Path folder, String name, String zone, Store store, String... variables) throws IOException {
        String host = "127.0.0.1";
        front = host + ":" + freePort();
        ready = host + ":" + freePort();
        Path settings = folder.resolve(name + ".conf");
        Files.writeString(settings, String.join("\n", List.of(
            "node=" + name, "role=router", "machine-class=edge", "serves=edge,registry", "ip=" + host,
            "zone=" + zone, "region=south", "zones.south-a=south", "zones.south-b=south",
            "listen.front=" + front, "listen.ready=" + ready, "listen.directory=" + host + ":" + freePort(),
            "port-range=" + freePort() + ",65535", "limits.cpu-share=0.75", "limits.cores=1", "limits.memory-mb=430",
            "limits.max-fds=4100", "limits.link-mbps=1000.0", "discovery=platform", "entry=registry",
            "heartbeat-ms=1200", "bootstrap=true",
            "bounds.contact-ms=3000", "bounds.drain-ms=2000", "bounds.grace-s=8", "bounds.loss-slack-ms=200",
            "bounds.config-apply-ms=2000", "bounds.fail-closed=true", "bounds.revoke-ms=5000",
            "bounds.retry-budget-ratio=0.2", "bounds.budget-window-s=10", "bounds.retry-headroom=56",
            "bounds.ttl_max_s=5", "platform.address=" + store.address(), "platform.form=kv",
            "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.ttl-min-ms=1000", "")));
        log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command(root));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("AZUREDALE_SETTINGS", settings.toString());
        for (String variable : variables) {
            builder.environment().put(variable.split("=", 2)[0], variable.split("=", 2)[1]);
        }
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static List<String> command(Path root) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no command");
        return List.of(run.group(1).split(" "));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    int port() {
        return Integer.parseInt(front.split(":")[1]);
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                (HttpURLConnection) new URL("http://" + ready + "/azuredale/ready").openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) throw new IOException("router is not ready, see " + log);
            Thread.sleep(50);
        }
    }

    /** Sends a signal, for example TERM or STOP. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        process.waitFor();
    }
}
