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

/** The current endpoint list, with the start time of each worker process on the engine's clock. Confined to the engine's thread. */
final class EndpointList {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record KnownEndpoint(Endpoint endpoint, String incarnation) {}

    private final Map<String, KnownEndpoint> knownByWorker = new LinkedHashMap<>();
    private long revision;

    /**
     * The effect of an update.
     *
     * @param endpoints           the endpoints of the update
     * @param incarnationsToStart incarnations to which requests may be sent, by worker
     * @param workersToStop       workers that no further requests are sent to
     */
    record Change(List<Endpoint> endpoints, Map<String, String> incarnationsToStart, List<String> workersToStop) {}

    Change apply(EndpointUpdate update, long now) {
        List<Endpoint> endpoints = new ArrayList<>();
        Map<String, String> incarnationsToStart = new LinkedHashMap<>();
        List<String> workersToStop = new ArrayList<>();
        Set<String> listedWorkers = new HashSet<>();
        revision = update.revision();
        for (RosterEntry entry : update.entries()) {
            Endpoint endpoint = toEndpoint(entry, now);
            endpoints.add(endpoint);
            listedWorkers.add(entry.id());
            if (endpoint.availability() == Availability.UP) {
                incarnationsToStart.put(entry.id(), entry.boot());
            } else {
                workersToStop.add(entry.id());
            }
            if (endpoint.availability() == Availability.REMOVED) {
                knownByWorker.remove(entry.id());
            } else {
                knownByWorker.put(entry.id(), new KnownEndpoint(endpoint, entry.boot()));
            }
        }
        if (update.mode() == EndpointUpdateMode.FULL || update.mode() == EndpointUpdateMode.SNAPSHOT) {
            knownByWorker.keySet().stream()
                    .filter(id -> !listedWorkers.contains(id))
                    .forEach(workersToStop::add);
            knownByWorker.keySet().retainAll(listedWorkers);
        }
        return new Change(endpoints, incarnationsToStart, workersToStop);
    }

    List<Endpoint> endpoints() {
        return knownByWorker.values().stream().map(KnownEndpoint::endpoint).toList();
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

    /**
     * The start time of a worker process. Reported ages are delayed and jitter, so a process keeps the start time that was computed when
     * it was first listed. A new worker of unknown age counts as started long ago (0).
     */
    private long startedAt(RosterEntry entry, long now) {
        KnownEndpoint previous = knownByWorker.get(entry.id());
        if (previous != null && previous.incarnation.equals(entry.boot())) {
            return previous.endpoint.startedAt();
        }
        if (entry.ageMillis() == RosterEntry.UNKNOWN_AGE) {
            return previous == null ? 0 : now; // a new process of a known worker has just started
        }
        return Math.max(0, now - entry.ageMillis() * NANOS_PER_MILLI);
    }
}
