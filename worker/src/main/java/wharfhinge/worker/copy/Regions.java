package wharfhinge.worker.copy;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory of copies: private mappings of one empty file, {@value #FILE_NAME}, each made resident page by page. Neither the Java
 * heap nor {@code malloc} is used, as both may keep freed memory. A mapping is returned to the system completely when it is
 * closed, and is listed under its file name in {@code /proc/PID/smaps}, so that the memory accounting can be checked from
 * outside the process. Thread-safe.
 */
public final class Regions implements AutoCloseable {
    /** Name of the file that is mapped. */
    public static final String FILE_NAME = "copies.map";

    private static final long BYTES_PER_KB = 1024;
    private static final int PAGE_BYTES = 4096;
    private static final int TOUCH_STEP_BYTES = 1 << 16;

    private final FileChannel file;
    private final AtomicLong residentKb = new AtomicLong();
    private final AtomicLong mappedKb = new AtomicLong();

    /** Creates the file in {@code folder}, without content, and unlinks it at once. */
    public Regions(Path folder) throws IOException {
        Path path = Files.createDirectories(folder).resolve(FILE_NAME);
        Files.deleteIfExists(path);
        file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        Files.delete(path);
    }

    /** The memory of one copy. */
    public final class Region implements AutoCloseable {
        private final MappedByteBuffer memory;
        private final long sizeKb;
        private long touchedKb;
        private boolean closed;

        private Region(MappedByteBuffer memory, long sizeKb) {
            this.memory = memory;
            this.sizeKb = sizeKb;
        }

        /** A buffer over the memory, for the function. */
        ByteBuffer view() {
            return memory.duplicate();
        }

        /** Makes all pages resident, which takes processor time. */
        void touch() {
            for (int from = 0; from < memory.capacity(); from += TOUCH_STEP_BYTES) {
                int to = Math.min(memory.capacity(), from + TOUCH_STEP_BYTES);
                for (int offset = from; offset < to; offset += PAGE_BYTES) {
                    memory.put(offset, (byte) 0); // only a write makes a private page; a read would map the file's page
                }
                touchedKb += (to - from) / BYTES_PER_KB;
                residentKb.addAndGet((to - from) / BYTES_PER_KB);
            }
        }

        /** Releases the memory. It must not be accessed any more. */
        @Override
        public void close() {
            if (!closed) {
                closed = true;
                unmap(memory);
                residentKb.addAndGet(-touchedKb);
                mappedKb.addAndGet(-sizeKb);
            }
        }
    }

    /** Maps memory, none of which is resident yet. */
    public Region map(long sizeKb) throws IOException {
        long bytes = sizeKb * BYTES_PER_KB;
        MappedByteBuffer memory;
        synchronized (file) {
            memory = file.map(
                    FileChannel.MapMode.PRIVATE, 0, bytes); // extends the file without allocating blocks on disk
        }
        mappedKb.addAndGet(sizeKb);
        return new Region(memory, sizeKb);
    }

    /** Resident memory in KiB, exact to 64 KiB for each load in progress. */
    public long residentKb() {
        return residentKb.get();
    }

    /** Mapped memory in KiB. */
    public long mappedKb() {
        return mappedKb.get();
    }

    @Override
    public void close() throws IOException {
        file.close();
    }

    /** Unmaps through {@code jdk.unsupported}, since the JDK has no public method for it before version 22. */
    private static void unmap(MappedByteBuffer memory) {
        try {
            INVOKE_CLEANER.invoke(UNSAFE, memory);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot unmap the memory of a copy", e);
        }
    }

    private static final Object UNSAFE;
    private static final Method INVOKE_CLEANER;

    static {
        try {
            Class<?> unsafe = Class.forName("sun.misc.Unsafe");
            Field instance = unsafe.getDeclaredField("theUnsafe");
            instance.setAccessible(true);
            UNSAFE = instance.get(null);
            INVOKE_CLEANER = unsafe.getMethod("invokeCleaner", ByteBuffer.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }
}
