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

/** Tests the warm-up that runs before the gateway opens its port. */
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
        try (GatewayFixture fixture = new GatewayFixture(folder, "", clients, DispatcherFactory.CACHE_AWARE)) {
            fixture.gateway.warmUp();
            assertEquals(0, warmUpThreads());
            return fixture.gateway.warmUpResult();
        }
    }

    @Test
    void warmUp_endsInTimeAndLeavesNoThreads() throws Exception {
        WarmUp.Result result = warmUp("rehearse-ms=\"1000\"");
        // each of the eight warm-up clients sends a first call in any case, and the next one only after a response
        assertTrue(result.calls() >= 16 && result.durationMillis() < 10_000, result.toString());
    }

    @Test
    void zeroTime_skipsWarmUp() throws Exception {
        assertEquals(0, warmUp("rehearse-ms=\"0\"").calls());
    }

    /** With a limit of one call in flight, most calls are rejected and excess connections closed; the warm-up ends all the same. */
    @Test
    void lowLimits_doNotProlongWarmUp() throws Exception {
        assertTrue(warmUp("rehearse-ms=\"100\" max-open=\"1\"").durationMillis() < 10_000);
    }

    /** The worker receives no call, load, probe or connection, and the gateway counts no call. */
    @Test
    void warmUp_sendsNothingToWorkers() throws Exception {
        try (FakePeer worker = new FakePeer(in -> {});
                GatewayFixture fixture =
                        new GatewayFixture(folder, "", "rehearse-ms=\"200\"", DispatcherFactory.CACHE_AWARE)) {
            fixture.announce(worker.id());
            fixture.gateway.warmUp();
            assertFalse(fixture.gateway.metrics().get("rehearsed_calls") == 0);
            assertEquals(0, fixture.gateway.metrics().get("taken"));
            assertEquals(1, fixture.gateway.metrics().get("ready"));
            assertTrue(worker.receivesNoCallWithin(50));
        }
    }

    /** A stop during the warm-up, for instance by SIGTERM right after the start, ends it soon, and the port never opens. */
    @Test
    void stop_endsWarmUpAndPreventsStart() throws Exception {
        Gateway gateway = new Gateway(
                GatewayFixture.config(folder, "", "rehearse-ms=\"20000\"", 1),
                DispatcherFactory.CACHE_AWARE,
                (group, type) -> EndpointSource.pushedBy(updates -> {}));
        CompletableFuture<Object> run = CompletableFuture.supplyAsync(() -> {
            try {
                gateway.warmUp();
                return String.valueOf(gateway.start());
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        for (long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                warmUpThreads() == 0 && System.nanoTime() < deadlineNanos; ) {
            Thread.onSpinWait();
        }
        long stopNanos = System.nanoTime();
        assertEquals(0, gateway.stop());
        assertTrue(System.nanoTime() - stopNanos < TimeUnit.SECONDS.toNanos(5));
        assertEquals("null", run.get(5, TimeUnit.SECONDS));
        assertEquals(0, warmUpThreads());
    }
}
