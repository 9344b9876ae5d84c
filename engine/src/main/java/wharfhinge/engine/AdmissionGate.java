package wharfhinge.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.decisions.admission.AdmissionController.CallEnd;
import wharfhinge.decisions.admission.AdmissionController.Verdict;
import wharfhinge.decisions.admission.AdmissionSettings;

/**
 * Shares one {@link AdmissionController} among the I/O threads, which ask it before a call is queued, so that one tenant's flood
 * does not fill the submission queue. The lock is held for a few steps over the tenants that the settings name.
 */
final class AdmissionGate {
    private static final Verdict ADMITTED = new Verdict(AdmissionController.Decision.ADMITTED, 0);

    private final AdmissionController controller; // guarded by this; null where all are let in

    AdmissionGate(AdmissionSettings settings) {
        controller = settings == null ? null : new AdmissionController(settings);
    }

    Verdict tryAdmit(long now, String tenant) {
        if (controller == null) {
            return ADMITTED;
        }
        synchronized (this) {
            return controller.onArrival(now, tenant);
        }
    }

    void onCallEnded(long now, String tenant, CallEnd callEnd, long tookNanos, long latencyObjectiveNanos) {
        if (controller != null) {
            synchronized (this) {
                controller.onCallEnded(now, tenant, callEnd, tookNanos, latencyObjectiveNanos);
            }
        }
    }

    Map<String, Long> metrics() {
        Map<String, Long> metrics = new LinkedHashMap<>();
        if (controller != null) {
            synchronized (this) {
                put(metrics, "limit", (long) controller.limit());
                for (AdmissionController.TenantMetrics tenant : controller.metrics()) {
                    String of = tenant.tenant().equals(AdmissionController.DEFAULT_TENANT) ? "others" : tenant.tenant();
                    put(metrics, of + "_open", (long) tenant.pending());
                    put(metrics, of + "_admitted", tenant.admitted());
                    put(metrics, of + "_refused_rate", tenant.rejectedByRate());
                    put(metrics, of + "_refused_open", tenant.rejectedByPending());
                    put(metrics, of + "_refused_share", tenant.rejectedByShare());
                }
            }
        }
        return metrics;
    }

    /** Under the standard prefix, and under the deprecated one beside it. */
    private static void put(Map<String, Long> metrics, String key, long value) {
        metrics.put("admission_" + key, value);
        metrics.put("door_" + key, value);
    }
}
