package wharfhinge.engine;

import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes final answers, diagnostics and restarts of the dispatcher as log lines with fields. */
public final class Slf4jAccessLog implements AccessLog {
    private static final Logger ANSWERS = LoggerFactory.getLogger("wharfhinge.answers");
    private static final Logger DIAGNOSTICS = LoggerFactory.getLogger("wharfhinge.remarks");
    private static final Logger ENGINE = LoggerFactory.getLogger("wharfhinge.loop");
    private static final long SECOND = 1_000_000_000L;

    private final int diagnosticsPerSecond;
    private final LongAdder dropped = new LongAdder();
    private long currentSecond;
    private int loggedInSecond;
    private int droppedInSecond;

    /** Logs at most {@code diagnosticsPerSecond} diagnostics a second. */
    public Slf4jAccessLog(int diagnosticsPerSecond) {
        this.diagnosticsPerSecond = diagnosticsPerSecond;
    }

    /** Diagnostics that were over the rate and so not logged. */
    public long dropped() {
        return dropped.sum();
    }

    @Override
    public boolean isAccessLogEnabled() {
        return ANSWERS.isInfoEnabled();
    }

    @Override
    public void onAnswered(Entry line) {
        ANSWERS.atInfo()
                .addKeyValue("call", line.call())
                .addKeyValue("function", line.function())
                .addKeyValue("class", line.requestClass())
                .addKeyValue("tenant", line.tenant())
                .addKeyValue("answer", line.answer())
                .addKeyValue("took_us", line.tookNanos() / 1000)
                .addKeyValue("attempts", line.trail())
                .log("answer");
    }

    @Override
    public void onDiagnostic(String text) {
        long now = System.nanoTime() / SECOND;
        if (now != currentSecond) {
            if (droppedInSecond > 0) {
                DIAGNOSTICS.info("{} more diagnostics in that second", droppedInSecond);
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
