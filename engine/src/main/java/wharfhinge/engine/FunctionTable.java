package wharfhinge.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import wharfhinge.engine.WorkerTransport.FunctionInfo;
import wharfhinge.policy.Request;
import wharfhinge.protocol.CallHead;

/**
 * The properties of the functions that were called recently or announced by a chain. Beyond {@link #MAX_FUNCTIONS} the least recently
 * used is dropped. Confined to the engine's thread.
 */
final class FunctionTable {
    /** Each takes about 150 bytes. */
    private static final int MAX_FUNCTIONS = 2048;

    private final Map<String, FunctionInfo> functions = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, FunctionInfo> eldest) {
            return size() > MAX_FUNCTIONS;
        }
    };

    /** Records the function of a call. */
    void record(CallHead head) {
        put(infoOf(head));
    }

    /** The properties that a call states of its function. */
    static FunctionInfo infoOf(CallHead head) {
        return new FunctionInfo(head.function(), head.memoryMb(), head.lanes(), head.loadMillis());
    }

    /** Records the function of a request that is expected soon. */
    void record(Request request) {
        put(new FunctionInfo(
                request.function(), request.memoryMb(), request.concurrencyPerCopy(), request.loadMillis()));
    }

    private void put(FunctionInfo function) {
        functions.put(function.name(), function);
    }

    /** The properties of a function; those that are unknown are 0. */
    FunctionInfo find(String name) {
        return functions.getOrDefault(name, new FunctionInfo(name, 0, 0, 0));
    }

    int size() {
        return functions.size();
    }
}
