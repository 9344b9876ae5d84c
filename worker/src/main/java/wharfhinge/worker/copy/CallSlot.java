package wharfhinge.worker.copy;

import java.util.concurrent.atomic.AtomicReference;

/**
 * State of a call on a thread of a copy. The thread runs the call; the worker may cancel it or give it up. Exactly one of
 * {@link #finish} and {@link #giveUp} returns true, and an interrupt never reaches the thread's next call. Lock-free; checked
 * by Lincheck.
 */
final class CallSlot {
    private enum State {
        READY,
        RUNNING,
        INTERRUPTING,
        INTERRUPTED,
        FINISHED,
        GIVING_UP,
        GIVEN_UP
    }

    private final AtomicReference<State> state = new AtomicReference<>(State.READY);
    private volatile Thread thread;
    private volatile boolean cancelled;

    /** Starts the call on the current thread. Returns false if it was given up before. */
    boolean begin() {
        thread = Thread.currentThread();
        return state.compareAndSet(State.READY, State.RUNNING);
    }

    /** Sets the cancelled flag that the function can read and interrupts the thread if the call runs. Must be called only once. */
    void cancel() {
        cancelled = true;
        if (state.compareAndSet(State.RUNNING, State.INTERRUPTING)) {
            thread.interrupt();
            state.set(State.INTERRUPTED);
        }
    }

    /** Whether the call was cancelled or given up. */
    boolean isCancelled() {
        return cancelled;
    }

    /** Gives the call up. Returns true if it had not ended; then its thread is interrupted and its result ignored. */
    boolean giveUp() {
        while (true) {
            State current = state.get();
            switch (current) {
                case FINISHED, GIVING_UP, GIVEN_UP -> {
                    return false;
                }
                case INTERRUPTING -> Thread.onSpinWait();
                case READY -> {
                    if (state.compareAndSet(current, State.GIVEN_UP)) {
                        cancelled = true;
                        return true;
                    }
                }
                default -> {
                    if (state.compareAndSet(current, State.GIVING_UP)) {
                        cancelled = true;
                        thread.interrupt();
                        state.set(State.GIVEN_UP);
                        return true;
                    }
                }
            }
        }
    }

    /** Ends the call, on its thread, after the function has returned. Clears a late interrupt. Returns false if it was given up. */
    boolean finish() {
        while (true) {
            State current = state.get();
            if (current == State.INTERRUPTING || current == State.GIVING_UP) {
                Thread.onSpinWait();
            } else if (current == State.GIVEN_UP) {
                Thread.interrupted();
                return false;
            } else if (state.compareAndSet(current, State.FINISHED)) {
                Thread.interrupted();
                return true;
            }
        }
    }
}
