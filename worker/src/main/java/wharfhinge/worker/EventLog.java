package wharfhinge.worker;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * What came to a worker and what became of it, a line each: time on the machine's monotonic clock in nanoseconds, a word, and
 * {@code name=value} pairs, set apart by tabs; docs/operate/worker.md lists the words. Each line is written at once, so that a
 * killed process has told all it did. Any thread.
 */
interface EventLog extends AutoCloseable {
    /** Writes nothing. */
    EventLog NONE = (event, pairs) -> {};

    /** Notes something, with names and values in turn. */
    void log(String event, Object... pairs);

    @Override
    default void close() throws IOException {}

    /** Writes to a file, after what it holds. */
    static EventLog appendTo(Path file) throws IOException {
        return new FileEventLog(
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
    }

    /** Into a file. */
    final class FileEventLog implements EventLog {
        private final FileChannel file;

        private FileEventLog(FileChannel file) {
            this.file = file;
        }

        @Override
        public void log(String event, Object... pairs) {
            StringBuilder line = new StringBuilder(128)
                    .append(System.nanoTime())
                    .append('\t')
                    .append(event);
            for (int i = 0; i < pairs.length; i += 2) {
                line.append('\t').append(pairs[i]).append('=').append(pairs[i + 1]);
            }
            try {
                file.write(ByteBuffer.wrap(line.append('\n').toString().getBytes(StandardCharsets.UTF_8)));
            } catch (IOException e) {
                org.slf4j.LoggerFactory.getLogger(EventLog.class).warn("event not written: {}", e.getMessage());
            }
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
