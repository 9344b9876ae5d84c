package wharfhinge.decisions.copies;

import java.util.LinkedHashMap;
import java.util.Map;

/** What packages needed when they were loaded, by function. Bounded: the least recently used functions are dropped first. */
final class MemoryEstimates {
    /** Maximum number of functions remembered. */
    static final int MAX_FUNCTIONS = 4096;

    private final long defaultKb;
    private final Map<String, MemoryEstimate> byFunction = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, MemoryEstimate> eldest) {
            return size() > MAX_FUNCTIONS;
        }
    };

    /**
     * Creates estimates without any report of a package.
     *
     * @param defaultKb memory of a copy if nothing is known, in KiB
     */
    MemoryEstimates(long defaultKb) {
        this.defaultKb = defaultKb;
    }

    void learn(String function, MemoryEstimate measured) {
        byFunction.put(function, measured);
    }

    /** Memory for one copy in KiB: as its package reported, otherwise the caller's hint, otherwise the default. */
    long memoryKb(String function, MemoryEstimate hint) {
        MemoryEstimate known = byFunction.get(function);
        long estimatedKb = known != null ? known.memoryKb() : hint.memoryKb();
        return estimatedKb > 0 ? estimatedKb : defaultKb;
    }
}
