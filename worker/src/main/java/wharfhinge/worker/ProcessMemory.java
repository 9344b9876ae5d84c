package wharfhinge.worker;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** What this process holds, as the system and the JVM tell it. Linux; elsewhere only the JVM's part is known. */
final class ProcessMemory {
    private static final Path SMAPS_ROLLUP = Path.of("/proc/self/smaps_rollup");
    private final BufferPoolMXBean mappedPool = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
            .filter(pool -> pool.getName().equals("mapped"))
            .findFirst()
            .orElseThrow();
    private final long initialMappedBytes =
            mappedPool.getTotalCapacity(); // what others had mapped when the worker began

    /** Resident memory in KiB, or -1 where the system does not tell. */
    long residentKb() {
        try {
            for (String line : Files.readAllLines(SMAPS_ROLLUP)) {
                if (line.startsWith("Rss:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            return -1;
        }
        return -1;
    }

    /** Memory in mapped buffers in KiB, whoever mapped them since the worker began. */
    long mappedKb() {
        return (mappedPool.getTotalCapacity() - initialMappedBytes) / 1024;
    }

    /**
     * What is held beyond the books, in KiB.
     *
     * @param residentKb of the process
     * @param mappedKb   in mapped buffers
     * @param copiesKb   what copies hold resident by the books
     * @param bookedKb   mapped for copies by the books
     * @param ownKb      what the process may hold beside them
     */
    static long leakedKb(long residentKb, long mappedKb, long copiesResidentKb, long copiesMappedKb, long ownMemoryKb) {
        long excessResidentKb = residentKb < 0 ? 0 : residentKb - copiesResidentKb - ownMemoryKb;
        return Math.max(0, Math.max(excessResidentKb, mappedKb - copiesMappedKb));
    }
}
