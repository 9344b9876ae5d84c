package wharfhinge.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.decisions.admission.AdmissionController.CallEnd;
import wharfhinge.decisions.admission.AdmissionController.Verdict;
import wharfhinge.decisions.admission.AdmissionSettings;

/**
 * The door's decisions for many I/O threads: asked before a call is handed over, so that one tenant's flood does not fill the
 * hand-over. Holds its lock for a few steps over the tenants that the settings name.
 */
final class AdmissionGate {
    private static final Verdict OPEN = new Verdict(AdmissionController.Decision.ADMITTED, 0);

    private final AdmissionController decisions; // guarded by this; null where all are let in

    AdmissionGate(AdmissionSettings settings) {
        decisions = settings == null ? null : new AdmissionController(settings);
    }

    Verdict arrives(long nanos, String tenant) {
        if (decisions == null) {
            return OPEN;
        }
        synchronized (this) {
            return decisions.onArrival(nanos, tenant);
        }
    }

    void ended(long nanos, String tenant, CallEnd how, long tookNanos, long aimNanos) {
        if (decisions != null) {
            synchronized (this) {
                decisions.onCallEnded(nanos, tenant, how, tookNanos, aimNanos);
            }
        }
    }

    Map<String, Long> figures() {
        Map<String, Long> figures = new LinkedHashMap<>();
        if (decisions != null) {
            synchronized (this) {
                figures.put("door_limit", (long) decisions.limit());
                for (AdmissionController.TenantMetrics f : decisions.metrics()) {
                    String of = f.tenant().equals(AdmissionController.OTHERS) ? "others" : f.tenant();
                    figures.put("door_" + of + "_open", (long) f.pending());
                    figures.put("door_" + of + "_admitted", f.admitted());
                    figures.put("door_" + of + "_refused_rate", f.rejectedByRate());
                    figures.put("door_" + of + "_refused_open", f.rejectedByPending());
                    figures.put("door_" + of + "_refused_share", f.rejectedByShare());
                }
            }
        }
        return figures;
    }
}
