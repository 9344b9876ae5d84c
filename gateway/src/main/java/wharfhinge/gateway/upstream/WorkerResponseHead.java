package wharfhinge.gateway.upstream;

import io.netty.handler.codec.http2.Http2Headers;
import java.util.Map;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.LoadReport;
import wharfhinge.protocol.WorkerProtocol;

/** The headers of a worker's response, as docs/protocol-worker.md has them; all fields have a default where one is absent. */
final class WorkerResponseHead {
    /** Before any header came. */
    static final WorkerResponseHead NONE = new WorkerResponseHead();

    private static final int STATUS_DIGITS = 3;
    private static final int MAX_NUMBER_DIGITS = 6;

    private final Http2Headers headers; // null in NONE alone
    private int status;

    private WorkerResponseHead() {
        headers = null;
    }

    WorkerResponseHead(Http2Headers headers) {
        this.headers = headers;
    }

    /** Reads the status; one that is not a number throws, which closes the connection. */
    void parseStatus() {
        CharSequence text = headers.status();
        status = text == null || text.length() != STATUS_DIGITS ? 0 : Integer.parseInt(text.toString());
    }

    private CharSequence header(CharSequence name) {
        return headers == null ? null : headers.get(name);
    }

    /** The HTTP status, or 0. */
    int status() {
        return status;
    }

    /** The worker's own word on the outcome, or null. */
    AnswerCode code() {
        return headers == null ? null : AnswerCode.of(header(WorkerProtocol.OUTCOME));
    }

    CopyNote note() {
        return headers == null ? CopyNote.NONE : CopyNote.of(header(WorkerProtocol.NOTE));
    }

    Map<String, Double> loadReport() {
        return headers == null ? Map.of() : LoadReport.parse(header(WorkerProtocol.REPORT));
    }

    /** How many calls ran on the worker beside this one, or 0. */
    int concurrentOnWorker() {
        return number(WorkerProtocol.CONCURRENT_CALLS);
    }

    /** How many copies of the function are loaded, or 0. */
    int loadedCopies() {
        return number(WorkerProtocol.COUNT);
    }

    /** The content type, or null. */
    CharSequence contentType() {
        return header("content-type");
    }

    /** The reason as the access log and the client protocol have it: the outcome's word, then the note's. */
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
