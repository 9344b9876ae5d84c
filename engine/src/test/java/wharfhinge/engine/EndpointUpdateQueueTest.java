package wharfhinge.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;

/** Guards against a burst of endpoint updates that the engine handles one by one ahead of a call. */
class EndpointUpdateQueueTest {
    private final EndpointUpdateQueue queue = new EndpointUpdateQueue();

    private static RosterEntry entry(String id, RosterEntry.State state) {
        return new RosterEntry(id, "z", "k", 0, state, 1, RosterEntry.UNKNOWN_AGE, "1");
    }

    private static EndpointUpdate update(EndpointUpdateMode mode, long revision, RosterEntry... entries) {
        return new EndpointUpdate(mode, revision, List.of(entries));
    }

    private static EndpointUpdate incremental(long revision, String id, RosterEntry.State state) {
        return update(EndpointUpdateMode.INCREMENTAL, revision, entry(id, state));
    }

    @Test
    void waitingIncrementalUpdates_areMergedWithTheLatestEntryOfEachWorker() {
        assertTrue(queue.add(incremental(1, "a", RosterEntry.State.UP)));
        assertFalse(queue.add(incremental(2, "b", RosterEntry.State.UP)));
        assertFalse(queue.add(incremental(3, "a", RosterEntry.State.DRAINING)));
        EndpointUpdate merged = queue.take();
        assertEquals(3, merged.revision());
        assertEquals(
                List.of(entry("a", RosterEntry.State.DRAINING), entry("b", RosterEntry.State.UP)), merged.entries());
        assertTrue(queue.add(incremental(4, "a", RosterEntry.State.GONE)), "nothing waits");
    }

    @Test
    void fullUpdate_isNeverMerged() {
        assertTrue(queue.add(incremental(1, "a", RosterEntry.State.UP)));
        assertTrue(queue.add(update(EndpointUpdateMode.FULL, 2, entry("b", RosterEntry.State.UP))));
        assertTrue(queue.add(incremental(3, "a", RosterEntry.State.UP)));
        assertEquals(EndpointUpdateMode.INCREMENTAL, queue.take().mode());
        assertEquals(
                update(EndpointUpdateMode.FULL, 2, entry("b", RosterEntry.State.UP)),
                queue.take(),
                "as it was delivered");
        assertEquals(3, queue.take().revision());
    }

    @Test
    void burst_isHandledInFewTasksOfLimitedSize() {
        int updates = 3200;
        long tasks = IntStream.range(0, updates)
                .filter(i -> queue.add(incremental(i, "w" + i, RosterEntry.State.UP)))
                .count();
        assertEquals(
                (updates + EndpointUpdateQueue.MAX_MERGED_ENTRIES - 1) / EndpointUpdateQueue.MAX_MERGED_ENTRIES, tasks);
        for (long task = 0; task < tasks; task++) {
            assertTrue(queue.take().entries().size() <= EndpointUpdateQueue.MAX_MERGED_ENTRIES);
        }
    }
}
