package wharfhinge.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wharfhinge.policy.Availability;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;

/** The list as the loop last held it, with the start of each process on the loop's clock. */
final class EndpointList {
    private static final long MS = 1_000_000L;

    private record Known(Endpoint worker, String boot) {}

    private final Map<String, Known> known = new LinkedHashMap<>();
    private long revision;

    /** Workers that an update brings, processes by worker that may be sent to, and workers that may get nothing new. */
    record Change(List<Endpoint> told, Map<String, String> listed, List<String> leaving) {}

    Change apply(EndpointUpdate update, long now) {
        List<Endpoint> told = new ArrayList<>();
        Map<String, String> listed = new LinkedHashMap<>();
        List<String> leaving = new ArrayList<>();
        Set<String> named = new HashSet<>();
        revision = update.revision();
        for (RosterEntry entry : update.entries()) {
            Endpoint worker = worker(entry, now);
            told.add(worker);
            named.add(entry.id());
            if (worker.availability() == Availability.UP) {
                listed.put(entry.id(), entry.boot());
            } else {
                leaving.add(entry.id());
            }
            if (worker.availability() == Availability.REMOVED) {
                known.remove(entry.id());
            } else {
                known.put(entry.id(), new Known(worker, entry.boot()));
            }
        }
        if (update.mode() == EndpointUpdateMode.FULL || update.mode() == EndpointUpdateMode.SNAPSHOT) {
            known.keySet().stream().filter(id -> !named.contains(id)).forEach(leaving::add);
            known.keySet().retainAll(named);
        }
        return new Change(told, listed, leaving);
    }

    List<Endpoint> workers() {
        return known.values().stream().map(Known::worker).toList();
    }

    long revision() {
        return revision;
    }

    private Endpoint worker(RosterEntry entry, long now) {
        Availability availability =
                switch (entry.state()) {
                    case UP -> Availability.UP;
                    case DRAINING -> Availability.DRAINING;
                    case GONE -> Availability.REMOVED;
                };
        return new Endpoint(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                availability,
                entry.weight(),
                startedAt(entry, now));
    }

    /** Ages come late and jitter; the process names itself, so its start is settled when it is first heard of. */
    private long startedAt(RosterEntry entry, long now) {
        Known before = known.get(entry.id());
        if (before != null && before.boot.equals(entry.boot())) {
            return before.worker.startedAt();
        }
        if (entry.ageMillis() == RosterEntry.UNTOLD) {
            return before == null ? 0 : now; // one that took another's address has just started
        }
        return Math.max(0, now - entry.ageMillis() * MS);
    }
}
