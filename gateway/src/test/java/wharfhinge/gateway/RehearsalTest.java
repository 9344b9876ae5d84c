package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EndpointSource;

/** What a gateway does before its port opens. */
@Timeout(30)
class RehearsalTest {
    @TempDir
    private Path folder;

    private static long threads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().startsWith("rehearsal"))
                .count();
    }

    private Rehearsal.Played play(String clients) throws Exception {
        try (Rig rig = new Rig(folder, "", clients, DispatcherFactory.CACHE_AWARE)) {
            rig.gateway.rehearse();
            assertEquals(0, threads());
            return rig.gateway.rehearsed();
        }
    }

    @Test
    void endsInTimeAndLeavesNothingBehind() throws Exception {
        Rehearsal.Played played = play("rehearse-ms=\"1000\"");
        // eight clients begin a call each whatever happens, and each goes on only once it is answered
        assertTrue(played.calls() >= 16 && played.tookMillis() < 10_000, played.toString());
    }

    @Test
    void noneIsPlayedWhereNoTimeIsGiven() throws Exception {
        assertEquals(0, play("rehearse-ms=\"0\"").calls());
    }

    /** A limit of one open call refuses most; connections that are too many are closed: each client ends, and so does it. */
    @Test
    void limitsThatLetFewInDontHoldItUp() throws Exception {
        assertTrue(play("rehearse-ms=\"100\" max-open=\"1\"").tookMillis() < 10_000);
    }

    /** No call, order, probe or connect: the worker hears nothing, and the gateway counts nothing. */
    @Test
    void workersHearNothing() throws Exception {
        try (ScriptedPeer worker = new ScriptedPeer(in -> {});
                Rig rig = new Rig(folder, "", "rehearse-ms=\"200\"", DispatcherFactory.CACHE_AWARE)) {
            rig.list(worker.id());
            rig.gateway.rehearse();
            assertFalse(rig.gateway.figures().get("rehearsed_calls") == 0);
            assertEquals(0, rig.gateway.figures().get("taken"));
            assertEquals(1, rig.gateway.figures().get("ready"));
            assertTrue(worker.gotNothingWithin(50));
        }
    }

    /** Told to stop while it rehearses, as by TERM in its first seconds: it ends soon, and its port never opens. */
    @Test
    void aStopEndsItAndNothingStarts() throws Exception {
        Gateway gateway = new Gateway(
                Rig.config(folder, "", "rehearse-ms=\"20000\"", 1),
                DispatcherFactory.CACHE_AWARE,
                (group, type) -> EndpointSource.pushedBy(updates -> {}));
        CompletableFuture<Object> life = CompletableFuture.supplyAsync(() -> {
            try {
                gateway.rehearse();
                return String.valueOf(gateway.start());
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10); threads() == 0 && System.nanoTime() < end; ) {
            Thread.onSpinWait();
        }
        long told = System.nanoTime();
        assertEquals(0, gateway.stop());
        assertTrue(System.nanoTime() - told < TimeUnit.SECONDS.toNanos(5));
        assertEquals("null", life.get(5, TimeUnit.SECONDS));
        assertEquals(0, threads());
    }
}
