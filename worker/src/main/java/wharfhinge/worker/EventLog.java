package wharfhinge.worker;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Log of the requests to a worker and of their results. Each event is a line with the time on the machine's monotonic clock in
 * nanoseconds, the event's word and {@code name=value} pairs, separated by tabs; docs/operate/worker.md lists the words. Lines
 * are not buffered, so that the log of a killed process is complete. Thread-safe.
 */
interface EventLog extends AutoCloseable {
    /** Writes nothing. */
    EventLog NONE = (event, pairs) -> {};

    /** Writes an event; {@code pairs} are names and values in turn. */
    void log(String event, Object... pairs);

    @Override
    default void close() throws IOException {}

    /** Opens a log that appends to a file. */
    static EventLog appendTo(Path file) throws IOException {
        return new FileEventLog(
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
    }

    /** An event log in a file. */
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
                org.slf4j.LoggerFactory.getLogger(EventLog.class)
                        .warn("event log: line not written: {}", e.getMessage());
            }
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
