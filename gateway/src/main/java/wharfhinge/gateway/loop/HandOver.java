package wharfhinge.gateway.loop;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import wharfhinge.config.GatewayConfig;
import wharfhinge.decisions.door.DoorDecisions;
import wharfhinge.gateway.loop.DecisionLoop.Offered;
import wharfhinge.gateway.loop.DecisionLoop.Taken;
import wharfhinge.gateway.loop.LoopStats.Count;

/**
 * Hands calls of the I/O threads to the loop's thread, or turns them away before they count as taken: after the loop
 * began to close, by a tenant's limits, or where too many are open or wait for the loop. Any thread.
 */
final class HandOver {
    private final GatewayConfig.Clients limits;
    private final Door door;
    private final LoopStats stats;
    private final LongSupplier nanoTime;
    private final LoopThread thread;
    private final AtomicInteger waiting = new AtomicInteger(); // for the loop to come round to them
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean closing;

    HandOver(GatewayConfig config, LoopStats stats, LongSupplier nanoTime, LoopThread thread) {
        this.limits = config.clients();
        this.door = new Door(config.door());
        this.stats = stats;
        this.nanoTime = nanoTime;
        this.thread = thread;
    }

    /** Has {@code begin} run on the loop's thread for something that counts as one open call; or says why not. */
    Offered offer(String name, String tenant, Runnable begin) {
        if (closing) {
            stats.add(Count.TURNED_AWAY_CLOSING);
            return new Offered(Taken.CLOSING, 0);
        }
        DoorDecisions.Verdict verdict = door.arrives(nanoTime.getAsLong(), tenant);
        if (verdict.answer() != DoorDecisions.Answer.ADMITTED) {
            return new Offered(Taken.of(verdict.answer()), verdict.comeBackNanos());
        }
        Taken taken = take(name, begin);
        if (taken != Taken.TAKEN) {
            leftDoor(tenant, DoorDecisions.Ending.OTHERWISE, 0, 0);
        }
        return new Offered(taken, 0);
    }

    private Taken take(String name, Runnable begin) {
        if (open.incrementAndGet() > limits.maxOpen()) {
            open.decrementAndGet();
            stats.add(Count.TURNED_AWAY_OPEN);
            return Taken.TOO_MANY_OPEN;
        }
        if (waiting.incrementAndGet() > limits.handOver()) {
            waiting.decrementAndGet();
            open.decrementAndGet();
            stats.add(Count.TURNED_AWAY_HAND_OVER);
            return Taken.HAND_OVER_FULL;
        }
        thread.tell(name, () -> {
            waiting.decrementAndGet();
            begin.run();
        });
        return Taken.TAKEN;
    }

    /** A call was begun by the loop itself. */
    void begun() {
        open.incrementAndGet();
    }

    /** One that was taken or begun has ended. */
    void ended() {
        open.decrementAndGet();
    }

    /** One that came through the door has ended. */
    void leftDoor(String tenant, DoorDecisions.Ending how, long tookNanos, long aimNanos) {
        door.ended(nanoTime.getAsLong(), tenant, how, tookNanos, aimNanos);
    }

    /** Taken and not yet ended. */
    int open() {
        return open.get();
    }

    /** Takes no more. */
    void close() {
        closing = true;
    }

    boolean closing() {
        return closing;
    }

    Map<String, Long> doorFigures() {
        return door.figures();
    }
}
