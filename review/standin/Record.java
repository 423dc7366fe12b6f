import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... arguments) {
        double seconds = (System.nanoTime() - start) / 1e9;
        String text = String.format(Locale.ROOT, "%8.3f ", seconds) + String.format(Locale.ROOT, format, arguments);
        writer.println(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        writer.close();
    }
}
