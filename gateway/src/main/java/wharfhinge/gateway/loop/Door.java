package wharfhinge.gateway.loop;

import java.util.LinkedHashMap;
import java.util.Map;
import wharfhinge.decisions.door.DoorDecisions;
import wharfhinge.decisions.door.DoorDecisions.Ending;
import wharfhinge.decisions.door.DoorDecisions.Verdict;
import wharfhinge.decisions.door.DoorSettings;

/**
 * The door's decisions for many I/O threads: asked before a call is handed over, so that one tenant's flood does not fill the
 * hand-over. Holds its lock for a few steps over the tenants that the settings name.
 */
final class Door {
    private static final Verdict OPEN = new Verdict(DoorDecisions.Answer.ADMITTED, 0);

    private final DoorDecisions decisions; // guarded by this; null where all are let in

    Door(DoorSettings settings) {
        decisions = settings == null ? null : new DoorDecisions(settings);
    }

    Verdict arrives(long nanos, String tenant) {
        if (decisions == null) {
            return OPEN;
        }
        synchronized (this) {
            return decisions.arrives(nanos, tenant);
        }
    }

    void ended(long nanos, String tenant, Ending how, long tookNanos, long aimNanos) {
        if (decisions != null) {
            synchronized (this) {
                decisions.ended(nanos, tenant, how, tookNanos, aimNanos);
            }
        }
    }

    Map<String, Long> figures() {
        Map<String, Long> figures = new LinkedHashMap<>();
        if (decisions != null) {
            synchronized (this) {
                figures.put("door_limit", (long) decisions.limit());
                for (DoorDecisions.Figures f : decisions.figures()) {
                    String of = f.tenant().equals(DoorDecisions.OTHERS) ? "others" : f.tenant();
                    figures.put("door_" + of + "_open", (long) f.open());
                    figures.put("door_" + of + "_admitted", f.admitted());
                    figures.put("door_" + of + "_refused_rate", f.rate());
                    figures.put("door_" + of + "_refused_open", f.mostOpen());
                    figures.put("door_" + of + "_refused_share", f.share());
                }
            }
        }
        return figures;
    }
}
