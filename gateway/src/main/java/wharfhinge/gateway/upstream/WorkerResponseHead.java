package wharfhinge.gateway.upstream;

import io.netty.handler.codec.http2.Http2Headers;
import java.util.Map;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.LoadReport;
import wharfhinge.protocol.WorkerProtocol;

/** The headers of a worker's response, as specified in docs/protocol-worker.md; an absent header has a default value. */
final class WorkerResponseHead {
    /** The head of a response whose headers have not been received. */
    static final WorkerResponseHead NONE = new WorkerResponseHead();

    private static final int STATUS_DIGITS = 3;
    private static final int MAX_NUMBER_DIGITS = 6;

    private final Http2Headers headers; // null only in NONE
    private int status;

    private WorkerResponseHead() {
        headers = null;
    }

    WorkerResponseHead(Http2Headers headers) {
        this.headers = headers;
    }

    /** Parses the status; a status that is not a number throws an exception, which closes the connection. */
    void parseStatus() {
        CharSequence text = headers.status();
        status = text == null || text.length() != STATUS_DIGITS ? 0 : Integer.parseInt(text.toString());
    }

    private CharSequence header(CharSequence name) {
        return headers == null ? null : headers.get(name);
    }

    /** The HTTP status, or 0 if absent. */
    int status() {
        return status;
    }

    /** The outcome that the worker reports, or null if absent. */
    AnswerCode code() {
        return headers == null ? null : AnswerCode.of(header(WorkerProtocol.OUTCOME));
    }

    CopyNote note() {
        return headers == null ? CopyNote.NONE : CopyNote.of(header(WorkerProtocol.NOTE));
    }

    Map<String, Double> loadReport() {
        return headers == null ? Map.of() : LoadReport.parse(header(WorkerProtocol.REPORT));
    }

    /** How many other calls ran on the worker at the same time, or 0 if absent. */
    int concurrentOnWorker() {
        return number(WorkerProtocol.CONCURRENT_CALLS);
    }

    /** How many copies of the function are loaded, or 0 if absent. */
    int loadedCopies() {
        return number(WorkerProtocol.COUNT);
    }

    /** The content type, or null if absent. */
    CharSequence contentType() {
        return header("content-type");
    }

    /** The reason for the access log and the client protocol: the reported outcome, followed by the note if there is one. */
    String reason() {
        AnswerCode code = code();
        CopyNote note = note();
        String outcome = code == null ? "status-" + status : code.word();
        return note == CopyNote.NONE ? outcome : outcome + '/' + note.word();
    }

    private int number(CharSequence name) {
        CharSequence text = header(name);
        if (text == null
                || text.length() == 0
                || text.length() > MAX_NUMBER_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return 0;
        }
        return Integer.parseInt(text.toString());
    }
}
