package wharfhinge.decisions.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.admission.AdmissionController.CallEnd;
import wharfhinge.decisions.admission.AdmissionController.Decision;
import wharfhinge.decisions.admission.AdmissionController.Verdict;

/**
 * Checks the exact sequence of verdicts, limits and counters for random sequences of calls against a recorded digest. Enums enter the
 * digest by ordinal, so renaming a constant does not change it. A refactoring must leave the digest unchanged; a change of the decisions
 * replaces it and says so in its commit.
 */
class AdmissionControllerGoldenTest {
    private static final String EXPECTED_DIGEST = "35ec0587991a48b5766381d554ef125aa092794884c305ddc3e0555c2c073227";
    private static final long MILLIS = 1_000_000L;
    private static final int SEEDS = 200;
    private static final int EVENTS = 1000;
    private static final String[] TENANTS = {"a", "b", "c", "unnamed", null};

    private record PendingCall(String tenant, long arrivedAt) {}

    @Test
    void verdictsOfRandomCallSequences_matchTheRecordedDigest() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        for (int seed = 0; seed < SEEDS; seed++) {
            runRandomSequence(new Random(seed), digest);
        }
        assertEquals(EXPECTED_DIGEST, HexFormat.of().formatHex(digest.digest()));
    }

    private static void runRandomSequence(Random random, MessageDigest digest) {
        Map<String, TenantQuota> quotas = new LinkedHashMap<>();
        quotas.put("a", new TenantQuota(2, 50, 5, 0));
        quotas.put("b", new TenantQuota(1, 0, 0, 1 + random.nextInt(12)));
        quotas.put("c", new TenantQuota(0.5, 0, 0, 0));
        quotas.put(AdmissionController.DEFAULT_TENANT, new TenantQuota(1, 0, 0, 0));
        AdmissionController controller = new AdmissionController(
                new AdmissionSettings(quotas, AdmissionSettings.DEFAULT_FULL_AT_OBJECTIVE_SHARE));
        ArrayDeque<PendingCall> pendingCalls = new ArrayDeque<>();
        long now = 0;
        int arrivalsPerTenEvents = 4 + random.nextInt(3);
        for (int event = 0; event < EVENTS; event++) {
            now += random.nextInt(12) * MILLIS;
            if (random.nextInt(10) < arrivalsPerTenEvents) {
                String tenant = TENANTS[random.nextInt(TENANTS.length)];
                Verdict verdict = controller.onArrival(now, tenant);
                if (verdict.decision() == Decision.ADMITTED) {
                    pendingCalls.add(new PendingCall(tenant, now));
                }
                record(digest, verdict.decision().ordinal() + " " + verdict.retryAfterNanos());
            } else if (!pendingCalls.isEmpty()) {
                PendingCall call = random.nextBoolean() ? pendingCalls.pollFirst() : pendingCalls.pollLast();
                int kind = random.nextInt(20);
                CallEnd end = kind == 0 ? CallEnd.REJECTED : kind == 1 ? CallEnd.OTHER : CallEnd.ANSWERED;
                controller.onCallEnded(
                        now, call.tenant, end, now - call.arrivedAt, (100 + random.nextInt(1000)) * MILLIS);
            }
            record(digest, Double.toString(controller.limit()));
        }
        controller
                .metrics()
                .forEach(metrics -> record(
                        digest,
                        String.join(
                                " ",
                                metrics.tenant(),
                                Integer.toString(metrics.pending()),
                                Long.toString(metrics.admitted()),
                                Long.toString(metrics.rejectedByRate()),
                                Long.toString(metrics.rejectedByPending()),
                                Long.toString(metrics.rejectedByShare()))));
    }

    private static void record(MessageDigest digest, String line) {
        digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
