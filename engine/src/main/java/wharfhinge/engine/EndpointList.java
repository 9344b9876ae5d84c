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

/** The endpoints as last updated, with each process's start on the engine's clock. Confined to the engine's thread. */
final class EndpointList {
    private static final long MS = 1_000_000L;

    private record KnownEndpoint(Endpoint endpoint, String incarnation) {}

    private final Map<String, KnownEndpoint> known = new LinkedHashMap<>();
    private long revision;

    /**
     * What an update changes.
     *
     * @param incarnationsToStart the process by worker that requests may be sent to
     * @param workersToStop       workers that get nothing new
     */
    record Change(List<Endpoint> endpoints, Map<String, String> incarnationsToStart, List<String> workersToStop) {}

    Change apply(EndpointUpdate update, long now) {
        List<Endpoint> endpoints = new ArrayList<>();
        Map<String, String> incarnationsToStart = new LinkedHashMap<>();
        List<String> workersToStop = new ArrayList<>();
        Set<String> named = new HashSet<>();
        revision = update.revision();
        for (RosterEntry entry : update.entries()) {
            Endpoint endpoint = toEndpoint(entry, now);
            endpoints.add(endpoint);
            named.add(entry.id());
            if (endpoint.availability() == Availability.UP) {
                incarnationsToStart.put(entry.id(), entry.boot());
            } else {
                workersToStop.add(entry.id());
            }
            if (endpoint.availability() == Availability.REMOVED) {
                known.remove(entry.id());
            } else {
                known.put(entry.id(), new KnownEndpoint(endpoint, entry.boot()));
            }
        }
        if (update.mode() == EndpointUpdateMode.FULL || update.mode() == EndpointUpdateMode.SNAPSHOT) {
            known.keySet().stream().filter(id -> !named.contains(id)).forEach(workersToStop::add);
            known.keySet().retainAll(named);
        }
        return new Change(endpoints, incarnationsToStart, workersToStop);
    }

    List<Endpoint> endpoints() {
        return known.values().stream().map(KnownEndpoint::endpoint).toList();
    }

    long revision() {
        return revision;
    }

    private Endpoint toEndpoint(RosterEntry entry, long now) {
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

    /** Reported ages are late and jitter, so a process keeps the start computed when it was first listed. */
    private long startedAt(RosterEntry entry, long now) {
        KnownEndpoint previous = known.get(entry.id());
        if (previous != null && previous.incarnation.equals(entry.boot())) {
            return previous.endpoint.startedAt();
        }
        if (entry.ageMillis() == RosterEntry.UNKNOWN_AGE) {
            return previous == null ? 0 : now; // a new process at a known address has just started
        }
        return Math.max(0, now - entry.ageMillis() * MS);
    }
}
