package wharfhinge.engine;

import wharfhinge.policy.Dispatcher;

/** Whether the endpoint list is confirmed; kept across incarnations of the dispatcher. Confined to the engine's thread. */
final class EndpointStatus {
    private static final long NEVER = Long.MIN_VALUE;

    private boolean isKnown;
    private boolean isConfirmed;
    private long confirmedAt = NEVER;

    /** The source has delivered all updates up to {@code at}, a time of the engine's clock. */
    void confirm(long at) {
        isKnown = true;
        isConfirmed = true;
        confirmedAt = Math.max(confirmedAt, at);
    }

    /** The source must confirm the list again; until then it may be stale. */
    void unconfirm() {
        isKnown = true;
        isConfirmed = false;
    }

    /** Reports the status to a dispatcher, or nothing if the source has never reported one. */
    void reportTo(Dispatcher dispatcher, long now) {
        if (isConfirmed) {
            dispatcher.onEndpointsConfirmed(now, confirmedAt);
        } else if (isKnown) {
            dispatcher.onEndpointsUnconfirmed(now);
        }
    }
}
