package wharfhinge.engine;

import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes final answers, diagnostics and restarts of the dispatcher as log lines with fields. */
public final class Slf4jAccessLog implements AccessLog {
    private static final Logger ANSWERS = LoggerFactory.getLogger("wharfhinge.answers");
    private static final Logger DIAGNOSTICS = LoggerFactory.getLogger("wharfhinge.remarks");
    private static final Logger ENGINE = LoggerFactory.getLogger("wharfhinge.loop");
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final int diagnosticsPerSecond;
    private final LongAdder dropped = new LongAdder();
    private long currentSecond;
    private int loggedInSecond;
    private int droppedInSecond;

    /** Creates a log that writes at most {@code diagnosticsPerSecond} diagnostics per second. */
    public Slf4jAccessLog(int diagnosticsPerSecond) {
        this.diagnosticsPerSecond = diagnosticsPerSecond;
    }

    /** The number of diagnostics that were not logged because they exceeded the rate. */
    public long dropped() {
        return dropped.sum();
    }

    @Override
    public boolean isAccessLogEnabled() {
        return ANSWERS.isInfoEnabled();
    }

    @Override
    public void onAnswered(Entry entry) {
        ANSWERS.atInfo()
                .addKeyValue("call", entry.call())
                .addKeyValue("function", entry.function())
                .addKeyValue("class", entry.requestClass())
                .addKeyValue("tenant", entry.tenant())
                .addKeyValue("answer", entry.answer())
                .addKeyValue("took_us", entry.tookNanos() / 1000)
                .addKeyValue("attempts", entry.attemptSummaries())
                .log("answer");
    }

    @Override
    public void onDiagnostic(String text) {
        long now = System.nanoTime() / NANOS_PER_SECOND;
        if (now != currentSecond) {
            if (droppedInSecond > 0) {
                DIAGNOSTICS.info("dropped {} diagnostics within one second: over the rate limit", droppedInSecond);
            }
            currentSecond = now;
            loggedInSecond = 0;
            droppedInSecond = 0;
        }
        if (++loggedInSecond > diagnosticsPerSecond) {
            droppedInSecond++;
            dropped.increment();
        } else {
            DIAGNOSTICS.info(text);
        }
    }

    @Override
    public void onDispatcherRestarted(String event, Throwable cause, int callsEnded) {
        ENGINE.error(
                "dispatcher threw on {}: {} pending calls ended, starting a new incarnation", event, callsEnded, cause);
    }
}
