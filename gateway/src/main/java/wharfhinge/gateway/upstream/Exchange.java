package wharfhinge.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wharfhinge.engine.WorkerTransport;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.LoadReport;
import wharfhinge.protocol.WorkerProtocol;

/** One request to a worker and its answer; lives on its pool's event loop once begun. */
final class Exchange {
    final Http2Headers request;
    final boolean streams;
    private final LongSupplier nanoTime;
    private final long began;
    private final Consumer<WorkerTransport.ExchangeResult> ended;
    private final Consumer<WorkerStream> streamBegan;
    private final BooleanSupplier clientGone;
    private ByteBuf body;
    private boolean done;
    private long giveUpAt;
    private boolean bounded; // giveUpAt counts
    private int status;
    private Http2Headers head;
    private CompositeByteBuf answer;
    WorkerConnection connection;
    Http2FrameStream stream;
    WorkerStream workerStream;
    Future<?> timeout;

    /** Takes over {@code body}, which may be null; {@code streamBegan} may be null where nothing streams. */
    Exchange(
            Http2Headers request,
            ByteBuf body,
            LongSupplier nanoTime,
            Consumer<WorkerTransport.ExchangeResult> ended,
            Consumer<WorkerStream> streamBegan,
            BooleanSupplier clientGone) {
        this.request = request;
        this.body = body;
        this.nanoTime = nanoTime;
        this.began = nanoTime.getAsLong();
        this.ended = ended;
        this.streams = streamBegan != null;
        this.streamBegan = streamBegan;
        this.clientGone = clientGone;
    }

    /** Whether there is nobody left to send it for. */
    boolean unwanted() {
        return clientGone.getAsBoolean();
    }

    /** The gateway stops waiting at that reading of its clock; the worker is told what is left of it. */
    void giveUpAt(long nanos) {
        giveUpAt = nanos;
        bounded = true;
    }

    /** Writes the time that is left into the request, which is about to go out; false where none is left. */
    boolean stampDeadline() {
        if (!bounded) {
            return true;
        }
        long leftNanos = giveUpAt - nanoTime.getAsLong();
        request.setLong(WorkerProtocol.DEADLINE_MS, Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos)));
        return leftNanos > 0;
    }

    boolean done() {
        return done;
    }

    /** The body, to be sent; the exchange holds it no longer. */
    ByteBuf takeBody() {
        ByteBuf taken = body;
        body = null;
        return taken;
    }

    void headers(Http2Headers headers) {
        if (head == null) {
            head = headers;
            CharSequence text = headers.status();
            status = text == null || text.length() != 3 ? 0 : Integer.parseInt(text.toString());
        } // later ones are trailers, which the page has no use for
    }

    /** Whether the answer that began is one to be handed on as it comes. */
    boolean streamable() {
        return streams
                && workerStream == null
                && Ending.ANSWERED.outcome(status, AnswerCode.of(head.get(WorkerProtocol.OUTCOME)))
                        == wharfhinge.policy.Outcome.SERVED;
    }

    void beginStream() {
        workerStream = new WorkerStream(this, head.get("content-type"));
        streamBegan.accept(workerStream);
    }

    /** Keeps a part of the answer, taking it over; false where it is over the limit. */
    boolean keep(ByteBuf part, int most) {
        if (answer == null) {
            answer = part.alloc().compositeBuffer(256);
        }
        answer.addComponent(true, part);
        return answer.readableBytes() <= most;
    }

    /** Ends it; told once. */
    void end(Ending ending) {
        if (done) {
            return;
        }
        AnswerCode code = head == null ? null : AnswerCode.of(head.get(WorkerProtocol.OUTCOME));
        CopyNote note = head == null ? CopyNote.NONE : CopyNote.of(head.get(WorkerProtocol.NOTE));
        Map<String, Double> report = head == null ? Map.of() : LoadReport.parse(head.get(WorkerProtocol.REPORT));
        ByteBuf whole = ending == Ending.ANSWERED ? answer : null;
        if (whole != null) {
            answer = null;
        }
        String how = ending != Ending.ANSWERED
                ? ending.word()
                : (code == null ? "status-" + status : code.word()) + (note == CopyNote.NONE ? "" : "/" + note.word());
        close();
        if (workerStream != null) {
            workerStream.ended(ending == Ending.ANSWERED);
        }
        ended.accept(new WorkerTransport.ExchangeResult(
                ending.outcome(status, code),
                Ending.note(note),
                number(WorkerProtocol.COMPANY),
                report,
                number(WorkerProtocol.COUNT),
                nanoTime.getAsLong() - began,
                whole,
                head == null ? null : head.get("content-type"),
                how));
    }

    /** Drops it without a word: it was cancelled. */
    void close() {
        done = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        ReferenceCountUtil.release(body);
        ReferenceCountUtil.release(answer);
        body = null;
        answer = null;
    }

    private int number(CharSequence name) {
        CharSequence text = head == null ? null : head.get(name);
        if (text == null
                || text.length() == 0
                || text.length() > 6
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return 0;
        }
        return Integer.parseInt(text.toString());
    }
}
