import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Heads of HTTP messages on raw sockets. */
final class Http {
    /** The first line and the headers, whose names are in lower case. */
    static final class Head {
        String line;
        final Map<String, String> headers = new LinkedHashMap<>();

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        int length() {
            return Integer.parseInt(headers.getOrDefault("content-length", "0"));
        }
    }

    /** Reads a head; null if the connection ends before its first byte. */
    static Head readHead(InputStream input) throws IOException {
        Head head = new Head();
        String line = readLine(input);
        if (line == null) return null;
        head.line = line;
        while (!(line = readLine(input)).isEmpty()) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return head;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = input.read()) != '\n') {
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("connection ended within a head");
            }
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
