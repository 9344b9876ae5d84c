package wharfhinge.policy;

import java.util.Random;

/**
 * What the collaborators of one dispatcher share: its settings, its actions, its random source and the time of the
 * event being handled. The dispatcher sets {@link #now} at the head of each event; nothing else reads a clock. Used by
 * the dispatcher's thread alone.
 */
final class DispatcherContext {
    /** Nanoseconds of a millisecond. */
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Group size up to which figures that were tuned for one dispatcher hold unchanged. */
    private static final double SMALL_GROUP_SIZE = 4;

    final DispatcherSettings settings;
    final DispatcherActions actions;

    /** The only source of randomness; the order and number of its draws is part of what replays reproduce. */
    final Random random;

    /** 1 in small groups; in larger ones the part of a figure tuned for a small group that is left for one of many. */
    final double smallGroupFactor;

    /** Part of all sends that peers make and that this dispatcher doesn't see: 0 for one that is alone. */
    final double peerTrafficShare;

    /** Whether a worker without the function answers a miss, so that only explicit load orders load it. */
    final boolean loadsOnlyByOrder;

    /** Time of the event being handled, nanoseconds of the caller's clock. */
    long now;

    DispatcherContext(long now, long seed, DispatcherSettings settings, DispatcherActions actions) {
        this.now = now;
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        int groupSize = Math.max(1, settings.groupSize());
        this.smallGroupFactor = Math.min(1, SMALL_GROUP_SIZE / groupSize);
        this.peerTrafficShare = 1 - 1.0 / groupSize;
        this.loadsOnlyByOrder = settings.functionLoading().onMiss() == OnMissBehavior.MISS
                && settings.functionLoading().loadOrdersAllowed();
    }
}
