package wharfhinge.decisions.copies;

import java.util.LinkedHashMap;
import java.util.Map;

/** What packages reported of their needs when they were loaded; bounded, the functions not asked for longest are forgotten. */
final class MemoryEstimates {
    /** Functions remembered. */
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
     * No package has reported anything yet.
     *
     * @param defaultKb memory of a copy where nothing is known
     */
    MemoryEstimates(long defaultKb) {
        this.defaultKb = defaultKb;
    }

    void learn(String function, MemoryEstimate measured) {
        byFunction.put(function, measured);
    }

    /** Memory for one copy in KiB: as its package reported, else as the caller's hint says, else the default. */
    long memoryKb(String function, MemoryEstimate hint) {
        MemoryEstimate known = byFunction.get(function);
        long estimatedKb = known != null ? known.memoryKb() : hint.memoryKb();
        return estimatedKb > 0 ? estimatedKb : defaultKb;
    }
}
