package wharfhinge.protocol;

import io.netty.util.AsciiString;

/** Names that a client and a gateway use; docs/protocol-client.md is the page. */
public final class ClientProtocol {
    /** A call: {@code POST} to this and the function's name. */
    public static final String CALL_PATH = "/v1/call/";
    /** A chain: {@code POST} to this. */
    public static final String CHAIN_PATH = "/v1/chain";
    /** What the gateway says of itself: {@code GET}, lines of a name and a value. */
    public static final String STATUS_PATH = "/v1/status";

    /** An id of the client's, 1 to 64 of letters, digits, {@code . _ -}; handed on to the worker. */
    public static final AsciiString ID = AsciiString.cached("wh-id");
    /** The class; may be left out where the gateway has only one. */
    public static final AsciiString CLASS = AsciiString.cached("wh-class");
    /** Whose call it is. */
    public static final AsciiString TENANT = AsciiString.cached("wh-tenant");
    /** How long the client waits, in milliseconds; cut to the class's give-up time, which is the default. */
    public static final AsciiString DEADLINE_MS = AsciiString.cached("wh-deadline-ms");
    /** Expected work in microseconds on a standard core. */
    public static final AsciiString COST_US = AsciiString.cached("wh-cost-us");
    /** Memory of one copy of the function in MB. */
    public static final AsciiString MEMORY_MB = AsciiString.cached("wh-memory-mb");
    /** Calls that one copy runs at a time. */
    public static final AsciiString LANES = AsciiString.cached("wh-lanes");
    /** The usual time of a load in milliseconds. */
    public static final AsciiString LOAD_MS = AsciiString.cached("wh-load-ms");
    /** 1 where this is the client's own repeat. */
    public static final AsciiString REPEAT = AsciiString.cached("wh-repeat");
    /** 1 where the call writes. */
    public static final AsciiString WRITE = AsciiString.cached("wh-write");

    /** A {@link FinalAnswer}. */
    public static final AsciiString ANSWER = AsciiString.cached("wh-answer");
    /** The worker that served. */
    public static final AsciiString WORKER = AsciiString.cached("wh-worker");
    /** What became of each attempt, or why there was none. */
    public static final AsciiString REASON = AsciiString.cached("wh-reason");
    /** How many attempts there were. */
    public static final AsciiString ATTEMPTS = AsciiString.cached("wh-attempts");
    /** When to come back, in milliseconds; the standard header has whole seconds, rounded up. */
    public static final AsciiString RETRY_AFTER_MS = AsciiString.cached("wh-retry-after-ms");

    private ClientProtocol() {}
}
