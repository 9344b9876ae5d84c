package wharfhinge.worker.api;

import java.util.function.BooleanSupplier;

/** A call as the function sees it. */
public final class Invocation {
    private final String id;
    private final int attempt;
    private final byte[] input;
    private final long endsAt;
    private final BooleanSupplier cancelled;

    /** A call whose limit is over at {@code endsAt} on {@link System#nanoTime}. */
    public Invocation(String id, int attempt, byte[] input, long endsAt, BooleanSupplier cancelled) {
        this.id = id;
        this.attempt = attempt;
        this.input = input;
        this.endsAt = endsAt;
        this.cancelled = cancelled;
    }

    /** The call's id, the same for all its attempts: what keyed effects are kept by. */
    public String id() {
        return id;
    }

    /** The number of the attempt, from 0. */
    public int attempt() {
        return attempt;
    }

    /** The input; the receiver may change it. */
    public byte[] input() {
        return input;
    }

    /** What is left until the call is given up, in milliseconds; under 0 where it is. */
    public long leftMillis() {
        return (endsAt - System.nanoTime()) / 1_000_000;
    }

    /** Whether nobody waits for the answer any more; the thread is interrupted then, too. */
    public boolean cancelled() {
        return cancelled.getAsBoolean();
    }
}
