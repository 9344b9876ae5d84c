package wharfhinge.engine;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;

/**
 * Endpoint updates that wait for the engine's thread. An incremental update is merged into the one before it while that waits, with the
 * latest entry of each worker, so that a burst of updates is handled in few tasks and calls do not wait behind each of them. Safe for use
 * by any thread.
 */
final class EndpointUpdateQueue {
    /** Workers in a merged update; limits the time for which the update occupies the engine's thread. */
    static final int MAX_MERGED_ENTRIES = 256;

    private static final class Waiting {
        private final EndpointUpdateMode mode;
        private long revision;
        private final Map<String, RosterEntry> entries = new LinkedHashMap<>();

        private Waiting(EndpointUpdate update) {
            mode = update.mode();
            add(update);
        }

        private boolean accepts(EndpointUpdate update) {
            return mode == EndpointUpdateMode.INCREMENTAL
                    && update.mode() == EndpointUpdateMode.INCREMENTAL
                    && entries.size() + update.entries().size() <= MAX_MERGED_ENTRIES;
        }

        private void add(EndpointUpdate update) {
            revision = update.revision();
            update.entries().forEach(entry -> entries.put(entry.id(), entry));
        }
    }

    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();

    /** Adds an update. Returns whether a task that calls {@link #take} has to be executed for it. */
    synchronized boolean add(EndpointUpdate update) {
        Waiting last = queue.peekLast();
        if (last != null && last.accepts(update)) {
            last.add(update);
            return false;
        }
        queue.add(new Waiting(update));
        return true;
    }

    /** Removes the oldest update, with all that were merged into it; there must be one. */
    synchronized EndpointUpdate take() {
        Waiting first = queue.remove();
        return new EndpointUpdate(first.mode, first.revision, List.copyOf(first.entries.values()));
    }
}
