package wharfhinge.standin.fault;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Makes system calls of a running process fail or return late, and steps its wall clock. A C library, built by the machine's compiler and preloaded into
 * that process alone ({@code LD_PRELOAD}), reads its rules from a table in a file that this object maps too. Thread-safe.
 */
public final class FaultInjection {
    /** The system calls that can be made to fail, in the order of the table. READ and WRITE concern sockets only. */
    public enum SystemCall {
        ACCEPT,
        SOCKET,
        CONNECT,
        READ,
        WRITE,
        SENDTO,
        RECVFROM,
        EPOLL_WAIT,
        FILE_WRITE,
        FILE_SYNC
    }

    /** Error numbers of Linux, see <em>errno(3)</em>. */
    public enum ErrorNumber {
        EINTR(4),
        EIO(5),
        EAGAIN(11),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EPIPE(32),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ECONNRESET(104),
        ENOBUFS(105),
        ETIMEDOUT(110),
        ECONNREFUSED(111),
        EHOSTUNREACH(113);

        private final int value;

        ErrorNumber(int value) {
            this.value = value;
        }
    }

    private static final String SOURCE = "fault_injection.c";
    private static final long COMPILER_TIMEOUT_SECONDS = 60;
    private static final int HEADER_BYTES = Long.BYTES;
    private static final int RULE_BYTES = 7 * Integer.BYTES;
    private static final int ONE_IN_OFFSET = Integer.BYTES;
    private static final int MAX_BYTES_OFFSET = 2 * Integer.BYTES;
    private static final int COUNT_OFFSET = 3 * Integer.BYTES;
    private static final int FAILED_OFFSET = 4 * Integer.BYTES;
    private static final int TOTAL_OFFSET = 5 * Integer.BYTES;
    private static final int DELAY_OFFSET = 6 * Integer.BYTES;

    private final Path library;
    private final Path tableFile;
    private final MappedByteBuffer table;

    private FaultInjection(Path library, Path tableFile, MappedByteBuffer table) {
        this.library = library;
        this.tableFile = tableFile;
        this.table = table;
    }

    /**
     * Builds the library and creates its table file in a folder.
     *
     * @throws IOException if there is no C compiler named {@code cc} or it fails; the message says which
     */
    public static FaultInjection build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream sourceStream = FaultInjection.class.getResourceAsStream(SOURCE)) {
            Files.copy(sourceStream, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Path library = folder.resolve("fault_injection.so");
        compile(source, library);
        Path tableFile = Files.createTempFile(folder, "faults", ".table");
        int bytes = HEADER_BYTES + SystemCall.values().length * RULE_BYTES;
        try (FileChannel file = FileChannel.open(tableFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer table = file.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
            table.order(ByteOrder.nativeOrder());
            return new FaultInjection(library, tableFile, table);
        }
    }

    private static void compile(Path source, Path library) throws IOException, InterruptedException {
        Process compiler;
        try {
            compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(), "-ldl")
                    .redirectErrorStream(true)
                    .redirectOutput(library.resolveSibling("cc.log").toFile())
                    .start();
        } catch (IOException e) {
            throw new IOException("fault injection needs a C compiler named cc on the path: " + e.getMessage(), e);
        }
        if (!compiler.waitFor(COMPILER_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            compiler.destroyForcibly();
            throw new IOException("cc could not build " + source + ", see " + library.resolveSibling("cc.log"));
        }
    }

    /** Adds the variables that make a process started with this environment load the library. */
    public void addTo(Map<String, String> environment) {
        environment.put("LD_PRELOAD", library.toAbsolutePath().toString());
        environment.put("FAULT_TABLE", tableFile.toAbsolutePath().toString());
    }

    /** From now on, one in every {@code oneIn} of these calls fails with this error. */
    public void fail(SystemCall call, ErrorNumber error, int oneIn) {
        table.putInt(offset(call) + ONE_IN_OFFSET, oneIn);
        table.putInt(offset(call) + COUNT_OFFSET, 0);
        table.putInt(offset(call), error.value);
    }

    /** From now on, each of these calls transfers at most {@code maxBytes} bytes. */
    public void shorten(SystemCall call, int maxBytes) {
        table.putInt(offset(call) + MAX_BYTES_OFFSET, maxBytes);
    }

    /**
     * From now on, each poll for events returns this much later than the kernel has answered it, as in a process that waits for a processor
     * right then: what arrives meanwhile is not among the events.
     */
    public void delayPolls(int millis) {
        table.putInt(offset(SystemCall.EPOLL_WAIT) + DELAY_OFFSET, millis);
    }

    /** Removes all faults from these calls: from now on they go to the kernel unchanged. */
    public void stop(SystemCall call) {
        table.putInt(offset(call), 0);
        table.putInt(offset(call) + MAX_BYTES_OFFSET, 0);
        table.putInt(offset(call) + DELAY_OFFSET, 0);
    }

    /** Sets the process's wall clock {@code millis} ahead of the machine's, or behind it if negative. */
    public void stepWallClock(long millis) {
        table.putLong(0, TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** The number of these calls that {@link #fail} has made fail so far. */
    public int failed(SystemCall call) {
        return table.getInt(offset(call) + FAILED_OFFSET);
    }

    /** The number of these calls made so far. */
    public int total(SystemCall call) {
        return table.getInt(offset(call) + TOTAL_OFFSET);
    }

    private static int offset(SystemCall call) {
        return HEADER_BYTES + call.ordinal() * RULE_BYTES;
    }
}
