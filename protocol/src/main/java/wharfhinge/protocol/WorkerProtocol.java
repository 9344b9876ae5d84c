package wharfhinge.protocol;

import io.netty.util.AsciiString;

/** Names that a gateway and a worker use; docs/protocol-worker.md is the page. */
public final class WorkerProtocol {
    /** A call: {@code POST} to this and the function's name. */
    public static final String CALL_PATH = "/call/";
    /** Copies of a function: {@code PUT} holds, {@code DELETE} unloads idle ones. */
    public static final String COPIES_PATH = "/copies/";
    /** The parameter of {@code PUT} that tells how many copies, 0 to {@link #MOST_COPIES}; 0 only asks. */
    public static final String COUNT_PARAMETER = "?count=";
    /** A probe: {@code GET}. */
    public static final String PROBE_PATH = "/probe";
    /** The books of a worker that keeps some: {@code GET}. */
    public static final String MEMORY_PATH = "/memory";
    /** Most copies that one order may ask for. */
    public static final int MOST_COPIES = 16;

    /** The call's id, as its client gave it or the gateway made it. */
    public static final AsciiString CALL = AsciiString.cached("wh-call");
    /** The number of the attempt, from 0. */
    public static final AsciiString ATTEMPT = AsciiString.cached("wh-attempt");
    /** The gateway's name. */
    public static final AsciiString GATEWAY = AsciiString.cached("wh-gateway");
    /** The class of the call. */
    public static final AsciiString CLASS = AsciiString.cached("wh-class");
    /** Whose call it is. */
    public static final AsciiString TENANT = AsciiString.cached("wh-tenant");
    /** How long the gateway waits for this attempt, in whole milliseconds. */
    public static final AsciiString DEADLINE_MS = AsciiString.cached("wh-deadline-ms");
    /** Work told by the client, in microseconds on a standard core. */
    public static final AsciiString COST_US = AsciiString.cached("wh-cost-us");
    /** Memory of one copy in MB. */
    public static final AsciiString MEMORY_MB = AsciiString.cached("wh-memory-mb");
    /** Calls that one copy runs at a time. */
    public static final AsciiString LANES = AsciiString.cached("wh-lanes");
    /** The usual time of a load in milliseconds. */
    public static final AsciiString LOAD_MS = AsciiString.cached("wh-load-ms");

    /** The process that a request is meant for, as the roster names it; in answers, the one that answers. */
    public static final AsciiString BOOT = AsciiString.cached("wh-boot");

    /** An {@link AnswerCode}. */
    public static final AsciiString OUTCOME = AsciiString.cached("wh-outcome");
    /** A {@link CopyNote}. */
    public static final AsciiString NOTE = AsciiString.cached("wh-note");
    /** Calls of the same function that the worker held when this one came. */
    public static final AsciiString COMPANY = AsciiString.cached("wh-company");
    /** A {@link LoadReport}. */
    public static final AsciiString REPORT = AsciiString.cached("wh-report");
    /** Copies that stand, in the answer to an order. */
    public static final AsciiString COUNT = AsciiString.cached("wh-count");

    private WorkerProtocol() {}
}
