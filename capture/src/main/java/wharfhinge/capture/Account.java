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
 * Why a call went where it went: what the dispatcher believed of each worker just before each decision on it, and what it
 * decided. Names a call by the client's id or the gateway's own. One thread.
 */
public final class Account implements Replayer.Watcher {
    private static final int SHOWN = 12;
    private static final double MS = 1e6;

    private final String wanted;
    private final Map<String, String> outer = new HashMap<>();
    private final Map<String, Request> calls = new HashMap<>();
    private final List<String> lines = new ArrayList<>();
    private List<WorkerSnapshot> beliefs = List.of();
    private long begun;

    /** An account of one call. */
    public Account(String wanted) {
        this.wanted = wanted;
    }

    /** The account so far; empty where the call was not met. */
    public List<String> lines() {
        return lines;
    }

    private boolean about(String request) {
        return request != null && (request.equals(wanted) || wanted.equals(outer.get(request)));
    }

    @Override
    public void before(long index, Frame frame, Dispatcher dispatcher) {
        if (frame.event() instanceof Event.Named n) {
            outer.put(n.request(), n.outer());
        } else if (frame.event() instanceof Event.Query q) {
            calls.put(q.call().id(), q.call());
        }
        Request call = calls.get(decidedOn(frame));
        beliefs = call == null || dispatcher == null ? List.of() : dispatcher.workerStates(frame.at(), call.function());
    }

    /** The call of which the frame tells or on which it decides, if it is the one wanted. */
    private String decidedOn(Frame frame) {
        if (about(frame.event().request())) {
            return frame.event().request();
        }
        return frame.acts().stream()
                .map(Act::request)
                .filter(this::about)
                .findFirst()
                .orElse(null);
    }

    @Override
    public void after(long index, Frame frame, List<Act> replayed) {
        String id = decidedOn(frame);
        Request call = calls.get(id);
        if (call == null) {
            return;
        }
        if (frame.event() instanceof Event.Query) {
            begun = frame.at();
            lines.add(String.format(
                    Locale.ROOT,
                    "call %s (%s): function %s, class %s, %.0f ms to its deadline",
                    id,
                    outer.getOrDefault(id, "-"),
                    call.function(),
                    call.requestClass(),
                    call.remainingNanos() / MS));
        }
        lines.add(String.format(
                Locale.ROOT, "+%.1f ms, frame %d: %s", (frame.at() - begun) / MS, index, told(frame.event())));
        boolean chose = false;
        for (Act act : replayed) {
            if (about(act.request())
                    || act.text().endsWith(":" + id)
                    || act.function().equals(call.function())) {
                lines.add("    decided: " + act.line());
                chose |= act.kind() == Act.Kind.ATTEMPT || act.kind() == Act.Kind.REFUSE || act.kind() == Act.Kind.HOLD;
                if (act.kind() == Act.Kind.ATTEMPT) {
                    reason(act.worker(), call.function());
                }
            }
        }
        if (chose) {
            candidates();
        }
    }

    private static String told(Event event) {
        if (event instanceof Event.Completed c) {
            return String.format(
                    Locale.ROOT,
                    "attempt %d at %s ended: %s, %s, after %.1f ms",
                    c.how().attempt(),
                    c.how().worker(),
                    c.how().outcome(),
                    c.how().cacheStatus(),
                    c.how().tookNanos() / MS);
        }
        if (event instanceof Event.Query) {
            return "it came";
        }
        return event instanceof Event.Due due ? "timer " + due.token() : Text.json(event);
    }

    private void reason(String worker, String function) {
        WorkerSnapshot chosen = beliefs.stream()
                .filter(b -> b.worker().equals(worker))
                .findFirst()
                .orElse(null);
        if (chosen == null) {
            return;
        }
        List<WorkerSnapshot> warm = beliefs.stream()
                .filter(b -> b.up() && !b.ejected() && b.loaded())
                .toList();
        long room = warm.stream().filter(WorkerSnapshot::belowLimit).count();
        String why;
        if (chosen.ejected()) {
            why = "a trial of an ejected worker";
        } else if (chosen.loaded()
                && warm.stream().filter(WorkerSnapshot::belowLimit).allMatch(b -> b.inFlight() >= chosen.inFlight())) {
            why = "believed warm, with the fewest own calls in flight of the " + room
                    + " warm ones that are not saturated";
        } else if (chosen.loaded()) {
            why = "believed warm; others with fewer in flight were tried before, had no free lane, or may not get it";
        } else if (chosen.loading()) {
            why = "a copy is being loaded there";
        } else if (room == 0 && !warm.isEmpty()) {
            why = "spilled: all " + warm.size() + " believed warm are saturated; this one is a home of " + function;
        } else {
            why = "no worker is believed warm with room; this one is a home of " + function;
        }
        lines.add("    since: " + why);
    }

    private void candidates() {
        lines.add("    believed then of " + beliefs.size() + " workers (warm and least loaded first):");
        beliefs.stream()
                .sorted(Comparator.comparing((WorkerSnapshot b) -> !b.loaded())
                        .thenComparing(b -> !b.loading())
                        .thenComparingInt(WorkerSnapshot::inFlight)
                        .thenComparing(WorkerSnapshot::worker))
                .limit(SHOWN)
                .forEach(b -> lines.add(String.format(
                        Locale.ROOT,
                        "      %-22s %s%s%s%s%s in flight %d, limit %.2f, load %.2f, failures %.2f",
                        b.worker(),
                        b.loaded() ? "warm " : b.loading() ? "loading " : "",
                        b.up() ? "" : "leaving ",
                        b.ejected() ? "ejected " : "",
                        b.warmingUp() ? "cold " : "",
                        b.belowLimit() ? "" : "saturated ",
                        b.inFlight(),
                        b.concurrencyLimit(),
                        b.reportedLoad(),
                        b.failureRate())));
    }
}
