package wharfhinge.worker;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Function;
import wharfhinge.decisions.copies.MemoryEstimate;
import wharfhinge.protocol.WorkerProtocol;

/**
 * What a request's headers tell. A figure that is absent or no number in its range counts as untold, for it is advice: a call
 * is never lost over it.
 *
 * @param waitMillis how long the gateway waits; the longest where untold
 */
record WorkerCall(
        String id,
        int attempt,
        String gateway,
        String requestClass,
        String boot,
        MemoryEstimate hint,
        long waitMillis,
        long costUs) {
    private static final long MOST_MS = 3_600_000;
    private static final long MOST_KB = 2047 * 1024;
    private static final int MOST_LANES = 256;

    static WorkerCall of(HttpHeaders headers) {
        return of(headers::get);
    }

    static WorkerCall of(Function<CharSequence, String> h) {
        long kb = (long) (number(h.apply(WorkerProtocol.MEMORY_MB), MOST_KB / 1024.0) * 1024);
        int lanes = (int) number(h.apply(WorkerProtocol.LANES), MOST_LANES);
        double wait = number(h.apply(WorkerProtocol.DEADLINE_MS), MOST_MS);
        return new WorkerCall(
                word(h.apply(WorkerProtocol.CALL)),
                (int) number(h.apply(WorkerProtocol.ATTEMPT), 1e6),
                word(h.apply(WorkerProtocol.GATEWAY)),
                word(h.apply(WorkerProtocol.CLASS)),
                h.apply(WorkerProtocol.BOOT),
                new MemoryEstimate(kb, lanes),
                wait > 0 ? Math.max(1, (long) wait) : MOST_MS,
                (long) number(h.apply(WorkerProtocol.COST_US), 1e12));
    }

    /** Tabs and line ends would forge lines of the event log. */
    private static String word(String text) {
        if (text == null || text.isEmpty()) {
            return "-";
        }
        String cut = text.length() > 256 ? text.substring(0, 256) : text;
        return cut.replaceAll("[^\\x21-\\x7e]", "?");
    }

    private static double number(String text, double most) {
        if (text == null || text.length() > 32) {
            return 0;
        }
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value <= most ? value : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
