package wharfhinge.engine;

import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Final answers, remarks and restarts as log lines with fields. */
public final class Slf4jAccessLog implements AccessLog {
    private static final Logger ANSWERS = LoggerFactory.getLogger("wharfhinge.answers");
    private static final Logger REMARKS = LoggerFactory.getLogger("wharfhinge.remarks");
    private static final Logger LOOP = LoggerFactory.getLogger("wharfhinge.loop");
    private static final long SECOND = 1_000_000_000L;

    private final int remarksPerS;
    private final LongAdder dropped = new LongAdder();
    private long second;
    private int inSecond;
    private int droppedInSecond;

    /** At most so many remarks a second. */
    public Slf4jAccessLog(int remarksPerS) {
        this.remarksPerS = remarksPerS;
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
        if (now != second) {
            if (droppedInSecond > 0) {
                REMARKS.info("{} more remarks in that second", droppedInSecond);
            }
            second = now;
            inSecond = 0;
            droppedInSecond = 0;
        }
        if (++inSecond > remarksPerS) {
            droppedInSecond++;
            dropped.increment();
        } else {
            REMARKS.info(text);
        }
    }

    @Override
    public void onDispatcherRestarted(String event, Throwable cause, int callsEnded) {
        LOOP.error("the decisions threw on {}; {} open calls were ended, a new life begins", event, callsEnded, cause);
    }
}
