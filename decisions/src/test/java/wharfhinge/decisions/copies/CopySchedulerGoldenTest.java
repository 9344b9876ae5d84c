package wharfhinge.decisions.copies;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.copies.CopyScheduler.CallEnd;
import wharfhinge.decisions.copies.CopyScheduler.LoadEnd;
import wharfhinge.decisions.copies.CopyScheduler.OrderAnswer;

/**
 * Checks the exact sequence of actions for random sequences of events against a recorded digest. Enums enter the digest by ordinal, so
 * renaming a constant does not change it. A refactoring of the scheduler must leave the digest unchanged; a change of its decisions
 * replaces it and says so in its commit.
 */
class CopySchedulerGoldenTest {
    private static final String EXPECTED_DIGEST = "2dd01e1a484bc5580a3d0ce7ddb04884c9b4f4c191f285fa8213b4fc48c44419";
    private static final int SEEDS = 500;
    private static final int EVENTS = 400;

    /** Adds each action as text to the digest and remembers what is in progress, so that events refer to what exists. */
    private static final class FakeWorker implements CopyScheduler.Actions {
        private final MessageDigest digest;
        private final Set<Long> loading = new LinkedHashSet<>();
        private final Map<Long, Long> copyByRunningCall = new LinkedHashMap<>();
        private final Set<Long> unloading = new LinkedHashSet<>();
        private final List<Long> copiesOfOverdueThreads = new ArrayList<>();

        FakeWorker(MessageDigest digest) {
            this.digest = digest;
        }

        private void record(String action) {
            digest.update((action + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void startLoad(long copy, String function, long bookedKb) {
            loading.add(copy);
            record("load " + copy + " " + function + " " + bookedKb);
        }

        @Override
        public void startCall(long call, long copy) {
            copyByRunningCall.put(call, copy);
            record("run " + call + " " + copy);
        }

        @Override
        public void interruptCall(long call) {
            record("interrupt " + call);
        }

        @Override
        public void completeCall(
                long call, CopyScheduler.Answer answer, CopyScheduler.CopyUse copyUse, int concurrentCalls) {
            record("answer " + call + " " + answer.ordinal() + " " + (copyUse == null ? "-" : copyUse.ordinal()) + " "
                    + concurrentCalls);
        }

        @Override
        public void completeOrder(long order, OrderAnswer answer, int readyCopies) {
            record("order " + order + " " + answer.ordinal() + " " + readyCopies);
        }

        @Override
        public void unloadCopy(long copy) {
            unloading.add(copy);
            record("stop " + copy);
        }

        @Override
        public void onDrained() {
            record("drained");
        }
    }

    @Test
    void actionsOfRandomEventSequences_matchTheRecordedDigest() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        for (int seed = 0; seed < SEEDS; seed++) {
            runRandomSequence(new Random(seed), new FakeWorker(digest));
        }
        assertEquals(EXPECTED_DIGEST, HexFormat.of().formatHex(digest.digest()));
    }

    private static void runRandomSequence(Random random, FakeWorker worker) {
        CopySettings settings = new CopySettings(
                100,
                20,
                1 + random.nextInt(6),
                1 + random.nextInt(3),
                1 + random.nextInt(5),
                60,
                random.nextInt(4) > 0,
                random.nextBoolean());
        CopyScheduler scheduler = new CopyScheduler(settings, worker);
        long now = 0;
        for (int event = 0; event < EVENTS; event++) {
            now += random.nextInt(8);
            if (random.nextBoolean()) {
                applyRequestEvent(random, scheduler, now, event);
            } else {
                applyWorkerEvent(random, scheduler, worker, now);
            }
            worker.record("books " + scheduler.memory().totalBookedKb() + " "
                    + scheduler.memory().freeKb() + " "
                    + scheduler.memory().busyShare() + " " + scheduler.callsInFlight() + " " + scheduler.queuedCalls()
                    + " "
                    + scheduler.pendingLoads() + " " + scheduler.copyCount());
        }
        scheduler.onDrain(now);
        scheduler.onTick(now + 1000);
    }

    private static void applyRequestEvent(Random random, CopyScheduler scheduler, long now, int event) {
        String function = "f" + random.nextInt(4);
        MemoryEstimate hint = new MemoryEstimate(random.nextInt(3) * 15, 0);
        switch (random.nextInt(9)) {
            case 0, 1, 2, 3, 4 -> scheduler.onCall(now, event, function, hint, now + 5 + random.nextInt(60));
            case 5 -> scheduler.onLoadOrder(now, event, function, random.nextInt(5), hint);
            case 6 -> scheduler.onCallCancelled(now, random.nextInt(event + 1));
            case 7 -> scheduler.onLoadOrderCancelled(now, random.nextInt(event + 1));
            default -> scheduler.onUnloadOrder(now, function);
        }
    }

    private static void applyWorkerEvent(Random random, CopyScheduler scheduler, FakeWorker worker, long now) {
        switch (random.nextInt(10)) {
            case 0 -> scheduler.onTick(now);
            case 1 -> scheduler.onLeakMeasured(now, Math.max(0, random.nextInt(60) - 40));
            case 2 -> {
                if (!worker.copiesOfOverdueThreads.isEmpty()) {
                    scheduler.onOverdueThreadReturned(now, worker.copiesOfOverdueThreads.remove(0));
                }
            }
            case 3, 4 -> {
                long copy = anyOf(worker.unloading, random);
                if (copy > 0 && random.nextInt(4) == 0) {
                    scheduler.onCopyStuck(now, copy);
                } else if (copy > 0) {
                    worker.unloading.remove(copy);
                    scheduler.onCopyUnloaded(now, copy);
                }
            }
            case 5, 6, 7 -> endCall(random, scheduler, worker, now);
            default -> endLoad(random, scheduler, worker, now);
        }
    }

    private static void endCall(Random random, CopyScheduler scheduler, FakeWorker worker, long now) {
        if (worker.copyByRunningCall.isEmpty()) {
            return;
        }
        long call = anyOf(worker.copyByRunningCall.keySet(), random);
        long copy = worker.copyByRunningCall.remove(call);
        int kind = random.nextInt(8);
        CallEnd end = kind < 4 ? CallEnd.values()[kind] : CallEnd.SERVED;
        if (end == CallEnd.OVER_LIMIT) {
            worker.copiesOfOverdueThreads.add(copy);
        }
        scheduler.onCallCompleted(now, call, end);
    }

    private static void endLoad(Random random, CopyScheduler scheduler, FakeWorker worker, long now) {
        if (worker.loading.isEmpty()) {
            return;
        }
        long copy = anyOf(worker.loading, random);
        worker.loading.remove(copy);
        MemoryEstimate measured = new MemoryEstimate(10 + 5L * random.nextInt(6), 1 + random.nextInt(2));
        if (!scheduler.onMemoryMeasured(now, copy, measured)) {
            scheduler.onLoadCompleted(now, copy, LoadEnd.NEEDS_MORE_MEMORY);
            return;
        }
        int kind = random.nextInt(8);
        scheduler.onLoadCompleted(
                now, copy, kind == 0 ? LoadEnd.FAILED : kind == 1 ? LoadEnd.FAILED_STUCK : LoadEnd.READY);
    }

    private static long anyOf(Set<Long> ids, Random random) {
        if (ids.isEmpty()) {
            return 0;
        }
        return ids.stream().skip(random.nextInt(ids.size())).findFirst().orElseThrow();
    }
}
