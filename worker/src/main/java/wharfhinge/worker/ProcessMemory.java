package wharfhinge.worker;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** Memory of this process as measured by the operating system and the JVM. Other systems than Linux give only the JVM's figures. */
final class ProcessMemory {
    private static final Path SMAPS_ROLLUP = Path.of("/proc/self/smaps_rollup");
    private final BufferPoolMXBean mappedPool = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
            .filter(pool -> pool.getName().equals("mapped"))
            .findFirst()
            .orElseThrow();
    private final long initialMappedBytes = mappedPool.getTotalCapacity(); // mapped by others before the worker started

    /** Resident memory in KiB, or -1 if the system does not report it. */
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

    /** Memory in buffers that were mapped since the worker started, by any code, in KiB. */
    long mappedKb() {
        return (mappedPool.getTotalCapacity() - initialMappedBytes) / 1024;
    }

    /**
     * Memory that the process holds beyond what is accounted for, in KiB.
     *
     * @param residentKb       resident memory of the process; negative if unknown
     * @param mappedKb         memory in mapped buffers
     * @param copiesResidentKb resident memory of copies according to the memory accounting
     * @param copiesMappedKb   memory mapped for copies according to the memory accounting
     * @param ownMemoryKb      memory that the process may use besides its copies
     */
    static long leakedKb(long residentKb, long mappedKb, long copiesResidentKb, long copiesMappedKb, long ownMemoryKb) {
        long excessResidentKb = residentKb < 0 ? 0 : residentKb - copiesResidentKb - ownMemoryKb;
        return Math.max(0, Math.max(excessResidentKb, mappedKb - copiesMappedKb));
    }
}
