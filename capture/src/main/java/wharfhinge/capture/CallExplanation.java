package wharfhinge.capture;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.Request;
import wharfhinge.policy.WorkerSnapshot;

/**
 * Explains why a call was sent to its workers: the dispatcher's view of each worker just before each decision on that call, and the
 * decision. The call is identified by the client's id or by the dispatcher's own. Not thread-safe.
 */
public final class CallExplanation implements Replayer.Watcher {
    private static final int MAX_CANDIDATES_SHOWN = 12;
    private static final double NANOS_PER_MILLI = 1e6;

    private final String wantedId;
    private final Map<String, String> externalIds = new HashMap<>();
    private final Map<String, Request> calls = new HashMap<>();
    private final List<String> lines = new ArrayList<>();
    private List<WorkerSnapshot> workerStates = List.of();
    private long arrivedAt;

    /** Explains the call with this id. */
    public CallExplanation(String wantedId) {
        this.wantedId = wantedId;
    }

    /** The explanation so far; empty if the call did not occur. */
    public List<String> lines() {
        return lines;
    }

    private boolean isWanted(String request) {
        return request != null && (request.equals(wantedId) || wantedId.equals(externalIds.get(request)));
    }

    @Override
    public void before(long index, Frame frame, Dispatcher dispatcher) {
        if (frame.event() instanceof Event.Named named) {
            externalIds.put(named.request(), named.outer());
        } else if (frame.event() instanceof Event.Query query) {
            calls.put(query.call().id(), query.call());
        }
        Request call = calls.get(wantedRequestOf(frame));
        workerStates =
                call == null || dispatcher == null ? List.of() : dispatcher.workerStates(frame.at(), call.function());
    }

    /** The id of the wanted call if the frame's event or actions concern it, else null. */
    private String wantedRequestOf(Frame frame) {
        if (isWanted(frame.event().request())) {
            return frame.event().request();
        }
        return frame.acts().stream()
                .map(RecordedAction::request)
                .filter(this::isWanted)
                .findFirst()
                .orElse(null);
    }

    @Override
    public void after(long index, Frame frame, List<RecordedAction> replayed) {
        String id = wantedRequestOf(frame);
        Request call = calls.get(id);
        if (call == null) {
            return;
        }
        if (frame.event() instanceof Event.Query) {
            arrivedAt = frame.at();
            lines.add(String.format(
                    Locale.ROOT,
                    "call %s (%s): function %s, class %s, %.0f ms to its deadline",
                    id,
                    externalIds.getOrDefault(id, "-"),
                    call.function(),
                    call.requestClass(),
                    call.remainingNanos() / NANOS_PER_MILLI));
        }
        lines.add(String.format(
                Locale.ROOT,
                "+%.1f ms, frame %d: %s",
                (frame.at() - arrivedAt) / NANOS_PER_MILLI,
                index,
                describe(frame.event())));
        boolean hasDecision = false;
        for (RecordedAction act : replayed) {
            if (isWanted(act.request())
                    || act.text().endsWith(":" + id)
                    || act.function().equals(call.function())) {
                lines.add("    decided: " + act.line());
                hasDecision |= act.kind() == RecordedAction.Kind.ATTEMPT
                        || act.kind() == RecordedAction.Kind.REFUSE
                        || act.kind() == RecordedAction.Kind.HOLD;
                if (act.kind() == RecordedAction.Kind.ATTEMPT) {
                    addReason(act.worker(), call.function());
                }
            }
        }
        if (hasDecision) {
            addCandidates();
        }
    }

    private static String describe(Event event) {
        if (event instanceof Event.Completed completed) {
            return String.format(
                    Locale.ROOT,
                    "attempt %d at %s ended: %s, %s, after %.1f ms",
                    completed.how().attempt(),
                    completed.how().worker(),
                    completed.how().outcome(),
                    completed.how().cacheStatus(),
                    completed.how().tookNanos() / NANOS_PER_MILLI);
        }
        if (event instanceof Event.Query) {
            return "request received";
        }
        return event instanceof Event.Due due ? "timer " + due.token() : FrameJson.json(event);
    }

    private void addReason(String worker, String function) {
        WorkerSnapshot chosen = workerStates.stream()
                .filter(state -> state.worker().equals(worker))
                .findFirst()
                .orElse(null);
        if (chosen == null) {
            return;
        }
        List<WorkerSnapshot> loaded = workerStates.stream()
                .filter(state -> state.up() && !state.ejected() && state.loaded())
                .toList();
        long belowLimit = loaded.stream().filter(WorkerSnapshot::belowLimit).count();
        String reason;
        if (chosen.ejected()) {
            reason = "a trial of an ejected worker";
        } else if (chosen.loaded()
                && loaded.stream()
                        .filter(WorkerSnapshot::belowLimit)
                        .allMatch(state -> state.inFlight() >= chosen.inFlight())) {
            reason = "believed loaded, with the fewest own calls in flight of the " + belowLimit
                    + " loaded workers that are not saturated";
        } else if (chosen.loaded()) {
            reason =
                    "believed loaded; others with fewer calls in flight were tried before, had no free slot or are not eligible";
        } else if (chosen.loading()) {
            reason = "a copy is being loaded there";
        } else if (belowLimit == 0 && !loaded.isEmpty()) {
            reason = "all " + loaded.size() + " workers believed loaded are saturated; this is a preferred worker of "
                    + function;
        } else {
            reason = "no worker with capacity is believed loaded; this is a preferred worker of " + function;
        }
        lines.add("    since: " + reason);
    }

    private void addCandidates() {
        lines.add("    believed then of " + workerStates.size()
                + " workers (those with the function loaded and fewest calls in flight first):");
        workerStates.stream()
                .sorted(Comparator.comparing((WorkerSnapshot state) -> !state.loaded())
                        .thenComparing(state -> !state.loading())
                        .thenComparingInt(WorkerSnapshot::inFlight)
                        .thenComparing(WorkerSnapshot::worker))
                .limit(MAX_CANDIDATES_SHOWN)
                .forEach(state -> lines.add(String.format(
                        Locale.ROOT,
                        "      %-22s %s%s%s%s%s in flight %d, limit %.2f, load %.2f, failures %.2f",
                        state.worker(),
                        state.loaded() ? "warm " : state.loading() ? "loading " : "",
                        state.up() ? "" : "leaving ",
                        state.ejected() ? "ejected " : "",
                        state.warmingUp() ? "cold " : "",
                        state.belowLimit() ? "" : "saturated ",
                        state.inFlight(),
                        state.concurrencyLimit(),
                        state.reportedLoad(),
                        state.failureRate())));
    }
}
