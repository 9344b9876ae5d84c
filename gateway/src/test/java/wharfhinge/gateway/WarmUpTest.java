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

/** The warm-up before the port opens. */
@Timeout(30)
class WarmUpTest {
    @TempDir
    private Path folder;

    private static long warmUpThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().startsWith("warm-up"))
                .count();
    }

    private WarmUp.Result warmUp(String clients) throws Exception {
        try (GatewayFixture rig = new GatewayFixture(folder, "", clients, DispatcherFactory.CACHE_AWARE)) {
            rig.gateway.warmUp();
            assertEquals(0, warmUpThreads());
            return rig.gateway.warmUpResult();
        }
    }

    @Test
    void warmUp_endsInTimeAndLeavesNoThreads() throws Exception {
        WarmUp.Result result = warmUp("rehearse-ms=\"1000\"");
        // eight clients begin a call each whatever happens, and each goes on only once it is answered
        assertTrue(result.calls() >= 16 && result.durationMillis() < 10_000, result.toString());
    }

    @Test
    void zeroTime_skipsWarmUp() throws Exception {
        assertEquals(0, warmUp("rehearse-ms=\"0\"").calls());
    }

    /** A limit of one call in flight rejects most; excess connections are closed: each client ends, and so does the warm-up. */
    @Test
    void lowLimits_doNotProlongWarmUp() throws Exception {
        assertTrue(warmUp("rehearse-ms=\"100\" max-open=\"1\"").durationMillis() < 10_000);
    }

    /** No call, load, probe or connect: the worker receives nothing, and the gateway counts nothing. */
    @Test
    void warmUp_sendsNothingToWorkers() throws Exception {
        try (FakePeer worker = new FakePeer(in -> {});
                GatewayFixture rig =
                        new GatewayFixture(folder, "", "rehearse-ms=\"200\"", DispatcherFactory.CACHE_AWARE)) {
            rig.announce(worker.id());
            rig.gateway.warmUp();
            assertFalse(rig.gateway.metrics().get("rehearsed_calls") == 0);
            assertEquals(0, rig.gateway.metrics().get("taken"));
            assertEquals(1, rig.gateway.metrics().get("ready"));
            assertTrue(worker.receivesNoCallWithin(50));
        }
    }

    /** Told to stop while warming up, as by TERM in its first seconds: it ends soon, and its port never opens. */
    @Test
    void stop_endsWarmUpAndPreventsStart() throws Exception {
        Gateway gateway = new Gateway(
                GatewayFixture.config(folder, "", "rehearse-ms=\"20000\"", 1),
                DispatcherFactory.CACHE_AWARE,
                (group, type) -> EndpointSource.pushedBy(updates -> {}));
        CompletableFuture<Object> life = CompletableFuture.supplyAsync(() -> {
            try {
                gateway.warmUp();
                return String.valueOf(gateway.start());
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                warmUpThreads() == 0 && System.nanoTime() < end; ) {
            Thread.onSpinWait();
        }
        long told = System.nanoTime();
        assertEquals(0, gateway.stop());
        assertTrue(System.nanoTime() - told < TimeUnit.SECONDS.toNanos(5));
        assertEquals("null", life.get(5, TimeUnit.SECONDS));
        assertEquals(0, warmUpThreads());
    }
}
