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

/** Tests which frames change the endpoint list, and that its snapshot file survives restarts, failed writes and corruption. */
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
        assertTrue(view.apply(changes(3, 4)).requestsFullList(), "changes without a list");
        assertTrue(
                view.apply(new RosterFrame(Kind.ALL, 0, 5, List.of())).update().isPresent());
        assertFalse(
                view.apply(new RosterFrame(Kind.ALL, 0, 5, List.of())).update().isPresent(), "repeated list");
        assertFalse(
                view.apply(new RosterFrame(Kind.ALL, 0, 4, List.of())).update().isPresent(), "older list");
        assertFalse(view.apply(changes(3, 4)).update().isPresent(), "older changes");
        assertTrue(view.apply(changes(5, 6)).update().isPresent());
        assertTrue(
                view.apply(changes(4, 7)).update().isPresent(),
                "changes since an older revision than the held one still apply");
        assertTrue(view.apply(changes(9, 10)).requestsFullList(), "gap between revisions");
        assertTrue(
                view.apply(new RosterFrame(Kind.HEARTBEAT, 0, 10, List.of())).requestsFullList(),
                "heartbeat with a newer revision");
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

    /** A failed write is retried with the newest list although no further update arrives. */
    @Test
    void failedWrite_isRetriedWithNewestList() throws Exception {
        Path blocked = folder.resolve("blocked");
        Files.writeString(blocked, "a file in place of the folder");
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

    /** The file format must not change between versions, since a gateway reads the file of the previous version. */
    @Test
    void snapshot_keepsFileFormat() throws Exception {
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
    void read_ignoresTruncatedAndCorruptedFiles() throws Exception {
        Path file = folder.resolve("list");
        assertTrue(new EndpointSnapshotFile(file, () -> 0).read().isEmpty(), "no file");
        EndpointSnapshotFile snapshot = new EndpointSnapshotFile(file, () -> 0);
        snapshot.onEndpointUpdate(new EndpointUpdate(EndpointUpdateMode.FULL, 3, List.of(entry("a:1", State.UP, 100))));
        snapshot.close();
        byte[] complete = Files.readAllBytes(file);
        for (int length = 0; length < complete.length; length += 3) {
            Files.write(file, java.util.Arrays.copyOf(complete, length));
            assertTrue(new EndpointSnapshotFile(file, () -> 0).read().isEmpty(), "truncated at " + length);
        }
        for (int i = 0; i < complete.length; i++) {
            byte[] corrupted = complete.clone();
            corrupted[i] ^= 1;
            Files.write(file, corrupted);
            boolean isWriteTime = i >= "wharfhinge-list 1 ".length()
                    && corrupted[i] >= '0'
                    && corrupted[i] <= '9'
                    && i < new String(complete).indexOf(' ', 18);
            assertTrue(
                    isWriteTime
                            || new EndpointSnapshotFile(file, () -> 0).read().isEmpty(),
                    "corrupted at " + i);
        }
    }
}
