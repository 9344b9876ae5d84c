package wharfhinge.worker.copy;

import java.util.concurrent.atomic.AtomicReference;

/**
 * One call's hold on a thread: the thread runs it, the worker may ask it to end or give up on it. Exactly one of
 * {@link #finish} and {@link #giveUp} wins, and an interrupt never reaches the thread's next call. No locks; checked by
 * Lincheck.
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

    /** On the thread that will run it: false where it was given up on before. */
    boolean begin() {
        thread = Thread.currentThread();
        return state.compareAndSet(State.READY, State.RUNNING);
    }

    /** Nobody waits any more: the code is told, and its thread interrupted where it runs. Once only. */
    void cancel() {
        cancelled = true;
        if (state.compareAndSet(State.RUNNING, State.INTERRUPTING)) {
            thread.interrupt();
            state.set(State.INTERRUPTED);
        }
    }

    /** Whether it was cancelled or given up. */
    boolean cancelled() {
        return cancelled;
    }

    /** The worker gives up on it: true where it had not ended; then its thread is interrupted and what it returns ignored. */
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

    /** On its thread, once the code has returned: true where nobody gave up on it. Clears a late interrupt. */
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
