import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Record {
    private static final long ORIGIN = System.nanoTime();
    private static PrintWriter writer;

    private Record() {
    }

    static void open(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    static long now() {
        return (System.nanoTime() - ORIGIN) / 1_000_000;
    }

    static synchronized void note(String text) {
        note(now(), text);
    }

    static synchronized void note(long atMillis, String text) {
        String line = String.format("%7.3f s  %s", atMillis / 1000.0, text);
        writer.println(line);
        System.out.println(line);
    }
}
