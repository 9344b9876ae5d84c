package wharfhinge.client;

import java.time.Duration;
import java.util.Objects;

/**
 * A call to be made. The function, its request class, the deadline and whether the call is idempotent have no defaults. Immutable.
 *
 * @param requestClass a request class of the gateways' settings
 * @param deadline     time limit for all attempts together, from the start of the call
 * @param safe         whether the call is idempotent: a retry is harmless even if the call was possibly executed
 * @param hedge        whether a hedged request may be sent while the first attempt is in flight; only for idempotent calls
 * @param streams      whether the request class has streamed answers, see {@link WharfhingeClient#stream}
 * @param tenant       the tenant on whose behalf the call is made, or null
 * @param id           an identifier chosen by the caller, or null
 * @param costUs       expected work in microseconds on a standard core, or 0 if unknown
 * @param memoryMb     memory that a copy of the function needs, or 0 if unknown
 * @param lanes        calls that a copy of the function can run at the same time, or 0 if unknown
 * @param loadMillis   usual time to load the function, or 0 if unknown
 * @param write        whether the call writes
 */
public record Call(
        String function,
        String requestClass,
        Duration deadline,
        boolean safe,
        boolean hedge,
        boolean streams,
        String tenant,
        String id,
        byte[] body,
        String contentType,
        long costUs,
        double memoryMb,
        int lanes,
        double loadMillis,
        boolean write) {

    /** Validates the call. */
    public Call {
        Objects.requireNonNull(function, "function");
        Objects.requireNonNull(requestClass, "requestClass");
        Objects.requireNonNull(deadline, "deadline");
        body = body == null ? new byte[0] : body;
        if (deadline.toMillis() < 1) {
            throw new IllegalArgumentException("deadline: found " + deadline + ", allowed: 1 ms or more");
        }
        if (hedge && !safe) {
            throw new IllegalArgumentException(
                    "hedge: found on a call that is not idempotent, allowed: on idempotent calls");
        }
    }

    /** Starts to build an idempotent call, which can be retried even if it was possibly executed. */
    public static Builder safe(String function, String requestClass, Duration deadline) {
        return new Builder(function, requestClass, deadline, true);
    }

    /** Starts to build a call that must not be executed twice. */
    public static Builder once(String function, String requestClass, Duration deadline) {
        return new Builder(function, requestClass, deadline, false);
    }

    /** Builds a call; sets its optional properties. */
    public static final class Builder {
        private final String function;
        private final String requestClass;
        private final Duration deadline;
        private final boolean safe;
        private boolean hedge;
        private boolean streams;
        private String tenant;
        private String id;
        private byte[] body;
        private String contentType;
        private long costUs;
        private double memoryMb;
        private int lanes;
        private double loadMillis;
        private boolean write;

        private Builder(String function, String requestClass, Duration deadline, boolean safe) {
            this.function = function;
            this.requestClass = requestClass;
            this.deadline = deadline;
            this.safe = safe;
        }

        /** Sets the function's input and its content type. */
        public Builder body(byte[] bytes, String type) {
            this.body = bytes;
            this.contentType = type;
            return this;
        }

        /** Allows a hedged request while the first attempt is in flight. */
        public Builder hedged() {
            this.hedge = true;
            return this;
        }

        /** Marks the answer as streamed, as its request class requires. */
        public Builder streamed() {
            this.streams = true;
            return this;
        }

        /** Sets the tenant on whose behalf the call is made. */
        public Builder tenant(String name) {
            this.tenant = name;
            return this;
        }

        /** Sets an identifier chosen by the caller. */
        public Builder id(String name) {
            this.id = name;
            return this;
        }

        /** Sets the expected work in microseconds on a standard core. */
        public Builder costUs(long us) {
            this.costUs = us;
            return this;
        }

        /** Sets the memory, the concurrency and the usual load time of a copy of the function. */
        public Builder copy(double megabytes, int lanesOfCopy, double usualLoadMillis) {
            this.memoryMb = megabytes;
            this.lanes = lanesOfCopy;
            this.loadMillis = usualLoadMillis;
            return this;
        }

        /** Marks the call as one that writes. */
        public Builder writes() {
            this.write = true;
            return this;
        }

        /** Creates the call. */
        public Call build() {
            return new Call(
                    function,
                    requestClass,
                    deadline,
                    safe,
                    hedge,
                    streams,
                    tenant,
                    id,
                    body,
                    contentType,
                    costUs,
                    memoryMb,
                    lanes,
                    loadMillis,
                    write);
        }
    }
}
