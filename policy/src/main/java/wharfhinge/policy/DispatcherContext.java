package wharfhinge.policy;

import java.util.Random;

/**
 * What the classes of one dispatcher share: its settings, its actions, its random source and the time of the event
 * being handled. The dispatcher sets {@link #now} at the start of each event; nothing else reads a clock. Used by the
 * dispatcher's thread alone.
 */
final class DispatcherContext {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Number of dispatchers sharing the workers up to which limits meant for a single dispatcher apply unchanged. */
    private static final double SMALL_GROUP_SIZE = 4;

    final DispatcherSettings settings;
    final DispatcherActions actions;

    /** The only source of randomness. Replays depend on the order and the number of draws. */
    final Random random;

    /**
     * Factor for limits that are meant for a single dispatcher: 1 where up to {@link #SMALL_GROUP_SIZE} dispatchers share
     * the workers, inversely proportional to the size of the group of dispatchers where there are more.
     */
    final double smallGroupFactor;

    /** Expected share of all sends that peers make, unseen by this dispatcher; 0 in a group of one. */
    final double peerTrafficShare;

    /** Whether functions are loaded by load orders alone: a worker without the function responds with a miss. */
    final boolean loadsOnlyByOrder;

    /** Time of the event being handled, in nanoseconds of the caller's clock. */
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
