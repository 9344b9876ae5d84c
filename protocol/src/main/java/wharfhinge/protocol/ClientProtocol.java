package wharfhinge.protocol;

import io.netty.util.AsciiString;

/** Paths and headers of the protocol between client and gateway, which docs/protocol-client.md specifies. */
public final class ClientProtocol {
    /** Path of a call, followed by the function's name: {@code POST}. */
    public static final String CALL_PATH = "/v1/call/";
    /** Path of a chain: {@code POST}. */
    public static final String CHAIN_PATH = "/v1/chain";
    /** Path of the gateway's status: {@code GET}; each line of the response holds a name and a value. */
    public static final String STATUS_PATH = "/v1/status";

    /** The call's id, chosen by the client: 1 to 64 letters, digits, {@code . _ -}. It is passed on to the worker. */
    public static final AsciiString ID = AsciiString.cached("wh-id");
    /** The call's request class; may be absent if the gateway has only one. */
    public static final AsciiString CLASS = AsciiString.cached("wh-class");
    /** The tenant that the call belongs to. */
    public static final AsciiString TENANT = AsciiString.cached("wh-tenant");
    /**
     * How long the client waits, in milliseconds; the maximum deadline of the request class is both the limit and the
     * default.
     */
    public static final AsciiString DEADLINE_MS = AsciiString.cached("wh-deadline-ms");
    /** Expected work in microseconds on a standard core. */
    public static final AsciiString COST_US = AsciiString.cached("wh-cost-us");
    /** Memory of one copy of the function in MB. */
    public static final AsciiString MEMORY_MB = AsciiString.cached("wh-memory-mb");
    /** Number of calls that one copy runs concurrently. */
    public static final AsciiString LANES = AsciiString.cached("wh-lanes");
    /** Typical time of a load in milliseconds. */
    public static final AsciiString LOAD_MS = AsciiString.cached("wh-load-ms");
    /** 1 if the client retries an earlier call of its own. */
    public static final AsciiString REPEAT = AsciiString.cached("wh-repeat");
    /** 1 if the call writes data. */
    public static final AsciiString WRITE = AsciiString.cached("wh-write");

    /** The final result of the call, a {@link FinalAnswer}. */
    public static final AsciiString ANSWER = AsciiString.cached("wh-answer");
    /** The worker that served the call. */
    public static final AsciiString WORKER = AsciiString.cached("wh-worker");
    /** The outcome of each attempt, or the reason why none was made. */
    public static final AsciiString REASON = AsciiString.cached("wh-reason");
    /** Number of attempts. */
    public static final AsciiString ATTEMPTS = AsciiString.cached("wh-attempts");
    /** Retry-After in milliseconds; the standard header holds whole seconds, rounded up. */
    public static final AsciiString RETRY_AFTER_MS = AsciiString.cached("wh-retry-after-ms");

    private ClientProtocol() {}
}
