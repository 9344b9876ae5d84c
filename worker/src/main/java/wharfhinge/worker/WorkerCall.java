package wharfhinge.worker;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Function;
import wharfhinge.decisions.copies.MemoryEstimate;
import wharfhinge.protocol.WorkerProtocol;

/**
 * The headers of a request. A number that is missing, malformed or out of range counts as absent: numbers are advice, and no
 * call is rejected because of them.
 *
 * @param waitMillis how long the gateway waits; the maximum if absent
 */
record WorkerCall(
        String id,
        int attempt,
        String gateway,
        String requestClass,
        String incarnation,
        MemoryEstimate memoryEstimate,
        long waitMillis,
        long costUs) {
    private static final long MAX_WAIT_MS = 3_600_000;
    private static final long MAX_MEMORY_KB = 2047 * 1024;
    private static final int MAX_SLOTS = 256;

    static WorkerCall of(HttpHeaders headers) {
        return of(headers::get);
    }

    static WorkerCall of(Function<CharSequence, String> headerValues) {
        long memoryKb = (long) (number(headerValues.apply(WorkerProtocol.MEMORY_MB), MAX_MEMORY_KB / 1024.0) * 1024);
        int slots = (int) number(headerValues.apply(WorkerProtocol.LANES), MAX_SLOTS);
        double deadlineMillis = number(headerValues.apply(WorkerProtocol.DEADLINE_MS), MAX_WAIT_MS);
        return new WorkerCall(
                printableWord(headerValues.apply(WorkerProtocol.CALL)),
                (int) number(headerValues.apply(WorkerProtocol.ATTEMPT), 1e6),
                printableWord(headerValues.apply(WorkerProtocol.GATEWAY)),
                printableWord(headerValues.apply(WorkerProtocol.CLASS)),
                headerValues.apply(WorkerProtocol.BOOT),
                new MemoryEstimate(memoryKb, slots),
                deadlineMillis > 0 ? Math.max(1, (long) deadlineMillis) : MAX_WAIT_MS,
                (long) number(headerValues.apply(WorkerProtocol.COST_US), 1e12));
    }

    /** Replaces characters outside printable ASCII: tabs and line ends would forge lines of the event log. */
    private static String printableWord(String text) {
        if (text == null || text.isEmpty()) {
            return "-";
        }
        String cut = text.length() > 256 ? text.substring(0, 256) : text;
        return cut.replaceAll("[^\\x21-\\x7e]", "?");
    }

    private static double number(String text, double max) {
        if (text == null || text.length() > 32) {
            return 0;
        }
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value <= max ? value : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
