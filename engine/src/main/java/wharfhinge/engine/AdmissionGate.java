package wharfhinge.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.decisions.admission.AdmissionController.CallEnd;
import wharfhinge.decisions.admission.AdmissionController.Verdict;
import wharfhinge.decisions.admission.AdmissionSettings;

/**
 * Shares one {@link AdmissionController} among the I/O threads. Calls pass admission before they are queued, so that a burst of one
 * tenant cannot fill the submission queue. The lock is held only for a short computation over the configured tenants.
 */
final class AdmissionGate {
    private static final Verdict ADMITTED = new Verdict(AdmissionController.Decision.ADMITTED, 0);

    private final AdmissionController controller; // guarded by this; null if every call is admitted

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
                    String tenantKey =
                            tenant.tenant().equals(AdmissionController.DEFAULT_TENANT) ? "others" : tenant.tenant();
                    put(metrics, tenantKey + "_open", (long) tenant.pending());
                    put(metrics, tenantKey + "_admitted", tenant.admitted());
                    put(metrics, tenantKey + "_refused_rate", tenant.rejectedByRate());
                    put(metrics, tenantKey + "_refused_open", tenant.rejectedByPending());
                    put(metrics, tenantKey + "_refused_share", tenant.rejectedByShare());
                }
            }
        }
        return metrics;
    }

    /** Adds a metric under the current prefix and under the deprecated one. */
    private static void put(Map<String, Long> metrics, String key, long value) {
        metrics.put("admission_" + key, value);
        metrics.put("door_" + key, value);
    }
}
