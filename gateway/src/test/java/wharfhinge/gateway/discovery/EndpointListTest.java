package wharfhinge.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterEntry.State;
import wharfhinge.protocol.RosterFrame;
import wharfhinge.protocol.RosterFrame.Kind;

/** The revisions of the endpoint list and their snapshot on disk. */
class EndpointListTest {
    @TempDir
    private Path folder;

    private static RosterEntry entry(String id, State state, long age) {
        return new RosterEntry(id, "z", "k", 0, state, 1, age, "b0");
    }

    private static RosterFrame changes(long from, long to) {
        return new RosterFrame(Kind.CHANGES, from, to, List.of(entry("a:1", State.UP, 5)));
    }

    @Test
    void apply_ignoresOldRevisionsAndRequestsFullListOnGap() {
        EndpointListView view = new EndpointListView();
        assertTrue(view.apply(changes(3, 4)).requestsFullList(), "changes to a list that is not held");
        assertTrue(
                view.apply(new RosterFrame(Kind.ALL, 0, 5, List.of())).update().isPresent());
        assertFalse(
                view.apply(new RosterFrame(Kind.ALL, 0, 5, List.of())).update().isPresent(), "repeated");
        assertFalse(
                view.apply(new RosterFrame(Kind.ALL, 0, 4, List.of())).update().isPresent(), "older");
        assertFalse(view.apply(changes(3, 4)).update().isPresent(), "older changes");
        assertTrue(view.apply(changes(5, 6)).update().isPresent());
        assertTrue(
                view.apply(changes(4, 7)).update().isPresent(), "changes since before what is held tell the same end");
        assertTrue(view.apply(changes(9, 10)).requestsFullList(), "a gap");
        assertTrue(
                view.apply(new RosterFrame(Kind.HEARTBEAT, 0, 10, List.of())).requestsFullList(),
                "a beat beyond what is held");
        assertFalse(view.apply(new RosterFrame(Kind.HEARTBEAT, 0, 7, List.of())).requestsFullList());
        assertEquals(7, view.revision());
    }

    @Test
    void snapshot_isReadAfterRestartWithAgedEntries() {
        AtomicLong wall = new AtomicLong(1_000_000);
        Path file = folder.resolve("deep/list");
        EndpointSnapshotFile snapshot = new EndpointSnapshotFile(file, wall::get);
        snapshot.onEndpointUpdate(new EndpointUpdate(
                EndpointUpdateMode.FULL, 3, List.of(entry("a:1", State.UP, 100), entry("b:1", State.UP, -1))));
        snapshot.onEndpointUpdate(new EndpointUpdate(
                EndpointUpdateMode.INCREMENTAL,
                4,
                List.of(entry("b:1", State.GONE, -1), entry("c:1", State.DRAINING, 7))));
        snapshot.close();
        wall.addAndGet(500);
        EndpointUpdate read = new EndpointSnapshotFile(file, wall::get).read().orElseThrow();
        assertEquals(EndpointUpdateMode.SNAPSHOT, read.mode());
        assertEquals(4, read.revision());
        assertEquals(
                List.of("a:1", "c:1"),
                read.entries().stream().map(RosterEntry::id).toList());
        assertEquals(600, read.entries().get(0).ageMillis());
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Nothing is received after a failed write, and the newest list is on disk nevertheless once it can be. */
    @Test
    void writeFailsForAWhile_isRepeatedWithTheNewestList() throws Exception {
        Path blocked = folder.resolve("blocked");
        Files.writeString(blocked, "where the folder should be");
        Path file = blocked.resolve("list");
        EndpointSnapshotFile snapshot = new EndpointSnapshotFile(file, () -> 0);
        snapshot.onEndpointUpdate(new EndpointUpdate(EndpointUpdateMode.FULL, 3, List.of(entry("a:1", State.UP, 1))));
        snapshot.onEndpointUpdate(new EndpointUpdate(EndpointUpdateMode.FULL, 4, List.of(entry("b:1", State.UP, 1))));
        await(() -> snapshot.failedWrites() > 0);
        Files.delete(blocked);
        await(() -> Files.exists(file));
        EndpointUpdate read = new EndpointSnapshotFile(file, () -> 0).read().orElseThrow();
        snapshot.close();
        assertEquals(4, read.revision());
    }

    /** The form on disk outlives versions: a gateway reads what the one before it wrote. */
    @Test
    void snapshot_keepsItsFormOnDisk() throws Exception {
        Path file = folder.resolve("golden");
        EndpointSnapshotFile snapshot = new EndpointSnapshotFile(file, () -> 1_000);
        snapshot.onEndpointUpdate(new EndpointUpdate(
                EndpointUpdateMode.FULL, 3, List.of(entry("a:1", State.UP, 100), entry("b:1", State.DRAINING, -1))));
        snapshot.close();
        assertEquals(
                "wharfhinge-list 1 1000 ce3537de\nall 3 2\nw a:1 z k 0 U 1.0 100 b0\nw b:1 z k 0 L 1.0 - b0\n",
                Files.readString(file));
    }

    @Test
    void read_ignoresTornAndDamagedFiles() throws Exception {
        Path file = folder.resolve("list");
        assertTrue(new EndpointSnapshotFile(file, () -> 0).read().isEmpty(), "no file");
        EndpointSnapshotFile snapshot = new EndpointSnapshotFile(file, () -> 0);
        snapshot.onEndpointUpdate(new EndpointUpdate(EndpointUpdateMode.FULL, 3, List.of(entry("a:1", State.UP, 100))));
        snapshot.close();
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut < whole.length; cut += 3) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            assertTrue(new EndpointSnapshotFile(file, () -> 0).read().isEmpty(), "torn at " + cut);
        }
        for (int i = 0; i < whole.length; i++) {
            byte[] damaged = whole.clone();
            damaged[i] ^= 1;
            Files.write(file, damaged);
            boolean time = i >= "wharfhinge-list 1 ".length()
                    && damaged[i] >= '0'
                    && damaged[i] <= '9'
                    && i < new String(whole).indexOf(' ', 18);
            assertTrue(time || new EndpointSnapshotFile(file, () -> 0).read().isEmpty(), "damaged at " + i);
        }
    }
}
