package wharfhinge.engine;

import wharfhinge.policy.Dispatcher;

/** Whether the source of the endpoint list is heard, kept for the next incarnation of the dispatcher. Confined to the engine's thread. */
final class EndpointStatus {
    private static final long NEVER = Long.MIN_VALUE;

    private boolean isKnown;
    private boolean isConfirmed;
    private long confirmedAt = NEVER;

    /** The source has told everything up to this time of the engine's clock. */
    void confirm(long at) {
        isKnown = true;
        isConfirmed = true;
        confirmedAt = Math.max(confirmedAt, at);
    }

    /** The source has to be asked again. */
    void unconfirm() {
        isKnown = true;
        isConfirmed = false;
    }

    /** Tells a dispatcher; nothing where the source never told whether it is heard. */
    void tell(Dispatcher dispatcher, long now) {
        if (isConfirmed) {
            dispatcher.onEndpointsConfirmed(now, confirmedAt);
        } else if (isKnown) {
            dispatcher.onEndpointsUnconfirmed(now);
        }
    }
}
