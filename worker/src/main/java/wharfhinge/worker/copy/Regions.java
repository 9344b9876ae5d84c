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
 * Memory of copies: private mappings of one empty file, {@value #NAME}, each made resident page by page. Not the Java heap,
 * which keeps what it once had, and not {@code malloc}, which may: a mapping is given back to the system whole when it is
 * closed, and shows by its file's name in {@code /proc/PID/smaps}, so that anybody can check the books from outside. Any
 * thread.
 */
public final class Regions implements AutoCloseable {
    /** The file that is mapped. */
    public static final String FILE_NAME = "copies.map";

    private static final long BYTES_PER_KB = 1024;
    private static final int PAGE_BYTES = 4096;
    private static final int TOUCH_STEP_BYTES = 1 << 16;

    private final FileChannel file;
    private final AtomicLong residentKb = new AtomicLong();
    private final AtomicLong mappedKb = new AtomicLong();

    /** Uses a file in {@code folder}, which holds no bytes and is unlinked at once. */
    public Regions(Path folder) throws IOException {
        Path path = Files.createDirectories(folder).resolve(FILE_NAME);
        Files.deleteIfExists(path);
        file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        Files.delete(path);
    }

    /** Memory of one copy. */
    public final class Region implements AutoCloseable {
        private final MappedByteBuffer memory;
        private final long sizeKb;
        private long touchedKb;
        private boolean closed;

        private Region(MappedByteBuffer memory, long sizeKb) {
            this.memory = memory;
            this.sizeKb = sizeKb;
        }

        /** What a function gets: another buffer over the same memory. */
        ByteBuffer view() {
            return memory.duplicate();
        }

        /** Makes all pages resident; takes core time. */
        void touch() {
            for (int from = 0; from < memory.capacity(); from += TOUCH_STEP_BYTES) {
                int to = Math.min(memory.capacity(), from + TOUCH_STEP_BYTES);
                for (int offset = from; offset < to; offset += PAGE_BYTES) {
                    memory.put(offset, (byte) 0); // a write, else the page stays the file's
                }
                touchedKb += (to - from) / BYTES_PER_KB;
                residentKb.addAndGet((to - from) / BYTES_PER_KB);
            }
        }

        /** Gives the memory back. Nothing may touch it from now on. */
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

    /** Maps memory; nothing of it is resident yet. */
    public Region map(long sizeKb) throws IOException {
        long bytes = sizeKb * BYTES_PER_KB;
        MappedByteBuffer memory;
        synchronized (file) {
            memory = file.map(FileChannel.MapMode.PRIVATE, 0, bytes); // lengthens the file, without blocks on disk
        }
        mappedKb.addAndGet(sizeKb);
        return new Region(memory, sizeKb);
    }

    /** KiB that are resident now, to within the 64 KiB that each load may be at. */
    public long residentKb() {
        return residentKb.get();
    }

    /** KiB mapped now. */
    public long mappedKb() {
        return mappedKb.get();
    }

    @Override
    public void close() throws IOException {
        file.close();
    }

    /** The JDK has no public call for this before its version 22; {@code jdk.unsupported} does. */
    private static void unmap(MappedByteBuffer memory) {
        try {
            INVOKE_CLEANER.invoke(UNSAFE, memory);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("can't unmap", e);
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
