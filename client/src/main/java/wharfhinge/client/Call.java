package wharfhinge.client;

import java.time.Duration;
import java.util.Objects;

/**
 * A call to be made. Function, class, deadline and whether a repeat is harmless have no default: they must be told. Immutable.
 *
 * @param requestClass a class of the gateways' settings
 * @param deadline     for all tries together, from the moment of calling
 * @param safe         a repeat is harmless even where the call may have run
 * @param hedge        a second copy may be sent while the first is out; safe calls alone
 * @param streams      its class is answered in parts, see {@link WharfhingeClient#stream}
 * @param tenant       whose it is, or null
 * @param id           the caller's own name for it, or null
 * @param lanes        and the following: figures for the gateway, 0 where untold
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

    /** Checks what is needed. */
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
                    "hedge: found on a call that is not safe to repeat, allowed: on safe ones");
        }
    }

    /** A call that may be repeated whatever became of it. */
    public static Builder safe(String function, String requestClass, Duration deadline) {
        return new Builder(function, requestClass, deadline, true);
    }

    /** A call that must not run twice. */
    public static Builder once(String function, String requestClass, Duration deadline) {
        return new Builder(function, requestClass, deadline, false);
    }

    /** Adds what may be left out. */
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

        /** The function's input. */
        public Builder body(byte[] bytes, String type) {
            this.body = bytes;
            this.contentType = type;
            return this;
        }

        /** A second copy may be sent while the first is out. */
        public Builder hedged() {
            this.hedge = true;
            return this;
        }

        /** Its class is answered in parts. */
        public Builder streamed() {
            this.streams = true;
            return this;
        }

        /** Whose call it is. */
        public Builder tenant(String name) {
            this.tenant = name;
            return this;
        }

        /** The caller's own name for it. */
        public Builder id(String name) {
            this.id = name;
            return this;
        }

        /** Expected work in microseconds on a standard core. */
        public Builder costUs(long us) {
            this.costUs = us;
            return this;
        }

        /** What a copy of the function needs. */
        public Builder copy(double megabytes, int lanesOfCopy, double usualLoadMillis) {
            this.memoryMb = megabytes;
            this.lanes = lanesOfCopy;
            this.loadMillis = usualLoadMillis;
            return this;
        }

        /** The call writes. */
        public Builder writes() {
            this.write = true;
            return this;
        }

        /** The call. */
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
