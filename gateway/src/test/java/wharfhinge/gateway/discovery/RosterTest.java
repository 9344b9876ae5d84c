package wharfhinge.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterEntry.State;
import wharfhinge.protocol.RosterFrame;
import wharfhinge.protocol.RosterFrame.Kind;

class RosterTest {
    @TempDir
    private Path folder;

    private static RosterEntry entry(String id, State state, long age) {
        return new RosterEntry(id, "z", "k", 0, state, 1, age, "b0");
    }

    private static RosterFrame changes(long from, long to) {
        return new RosterFrame(Kind.CHANGES, from, to, List.of(entry("a:1", State.UP, 5)));
    }

    @Test
    void olderRepeatedAndGappedRevisionsAreToldApart() {
        RosterView view = new RosterView();
        assertTrue(view.take(changes(3, 4)).askWhole(), "changes to a list that is not held");
        assertTrue(
                view.take(new RosterFrame(Kind.ALL, 0, 5, List.of())).update().isPresent());
        assertFalse(
                view.take(new RosterFrame(Kind.ALL, 0, 5, List.of())).update().isPresent(), "repeated");
        assertFalse(
                view.take(new RosterFrame(Kind.ALL, 0, 4, List.of())).update().isPresent(), "older");
        assertFalse(view.take(changes(3, 4)).update().isPresent(), "older changes");
        assertTrue(view.take(changes(5, 6)).update().isPresent());
        assertTrue(
                view.take(changes(4, 7)).update().isPresent(), "changes since before what is held tell the same end");
        assertTrue(view.take(changes(9, 10)).askWhole(), "a gap");
        assertTrue(view.take(new RosterFrame(Kind.BEAT, 0, 10, List.of())).askWhole(), "a beat beyond what is held");
        assertFalse(view.take(new RosterFrame(Kind.BEAT, 0, 7, List.of())).askWhole());
        assertEquals(7, view.held());
    }

    @Test
    void theListSurvivesARestartAndAges() {
        AtomicLong wall = new AtomicLong(1_000_000);
        Path file = folder.resolve("deep/list");
        RememberedList list = new RememberedList(file, wall::get);
        list.update(new EndpointUpdate(
                EndpointUpdateMode.FULL, 3, List.of(entry("a:1", State.UP, 100), entry("b:1", State.UP, -1))));
        list.update(new EndpointUpdate(
                EndpointUpdateMode.INCREMENTAL,
                4,
                List.of(entry("b:1", State.GONE, -1), entry("c:1", State.DRAINING, 7))));
        list.close();
        wall.addAndGet(500);
        EndpointUpdate read = new RememberedList(file, wall::get).read().orElseThrow();
        assertEquals(EndpointUpdateMode.SNAPSHOT, read.mode());
        assertEquals(4, read.revision());
        assertEquals(
                List.of("a:1", "c:1"),
                read.entries().stream().map(RosterEntry::id).toList());
        assertEquals(600, read.entries().get(0).ageMillis());
    }

    @Test
    void tornAndDamagedFilesAreLeftOut() throws Exception {
        Path file = folder.resolve("list");
        assertTrue(new RememberedList(file, () -> 0).read().isEmpty(), "no file");
        RememberedList list = new RememberedList(file, () -> 0);
        list.update(new EndpointUpdate(EndpointUpdateMode.FULL, 3, List.of(entry("a:1", State.UP, 100))));
        list.close();
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut < whole.length; cut += 3) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            assertTrue(new RememberedList(file, () -> 0).read().isEmpty(), "torn at " + cut);
        }
        for (int i = 0; i < whole.length; i++) {
            byte[] damaged = whole.clone();
            damaged[i] ^= 1;
            Files.write(file, damaged);
            boolean time = i >= "wharfhinge-list 1 ".length()
                    && damaged[i] >= '0'
                    && damaged[i] <= '9'
                    && i < new String(whole).indexOf(' ', 18);
            assertTrue(time || new RememberedList(file, () -> 0).read().isEmpty(), "damaged at " + i);
        }
    }
}
