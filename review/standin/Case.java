import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Timer;
import java.util.TimerTask;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {
    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path root;
    Path folder;
    Record record;

    /** Returns whether the rule was broken. */
    abstract boolean isBroken() throws Exception;

    static void main(Case test, String[] arguments) throws Exception {
        // A case that hangs ends by itself; the router processes end with this one.
        new Timer(true).schedule(new TimerTask() {
            @Override
            public void run() {
                System.exit(2);
            }
        }, 110_000);
        test.root = Path.of(arguments[0]).toAbsolutePath().normalize();
        test.folder = Files.createTempDirectory("azuredale-review");
        int status;
        try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"))) {
            test.record = record;
            record.line("disruption %s", test.trouble ? "on" : "off (TROUBLE=0)");
            try {
                status = test.isBroken() ? 1 : 0;
                record.line(status == 1 ? "the rule was BROKEN" : "the rule held");
            } catch (Exception failure) {
                record.line("could not run: %s", failure);
                status = 2;
            }
        }
        System.exit(status);
    }
}
