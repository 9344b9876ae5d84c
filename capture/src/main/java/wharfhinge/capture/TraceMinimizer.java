package wharfhinge.capture;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import wharfhinge.policy.Endpoint;

/**
 * Minimizes one incarnation of a capture to the fewest workers, calls and other events that still reproduce a failure when they are
 * replayed: delta debugging (Zeller and Hildebrandt, 2002) over calls first, then workers, then single frames. The minimized trace is
 * self-contained: its actions are those of a dispatcher that received only these events. Results of attempts that the minimized
 * trace never sends are harmless because the dispatcher ignores them. Not thread-safe. The number of replays is limited.
 */
public final class TraceMinimizer {
    private final Predicate<List<Frame>> predicate;
    private final int maxReplays;
    private int replays;

    /** Replays at most {@code maxReplays} times; {@code predicate} receives the frames with the actions of their replay. */
    public TraceMinimizer(Predicate<List<Frame>> predicate, int maxReplays) {
        this.predicate = predicate;
        this.maxReplays = maxReplays;
    }

    /** Returns the number of replays so far. */
    public int replays() {
        return replays;
    }

    /**
     * Minimizes the first incarnation that reproduces the failure; the frames hold the actions of their replay.
     *
     * @throws IllegalArgumentException if no incarnation reproduces the failure
     */
    public List<Frame> minimize(List<Frame> frames) {
        for (List<Frame> incarnation : incarnations(frames)) {
            if (reproduces(incarnation)) {
                return replayed(minimizeIncarnation(incarnation));
            }
        }
        throw new IllegalArgumentException("no incarnation of this capture reproduces the failure");
    }

    private static List<List<Frame>> incarnations(List<Frame> frames) {
        List<List<Frame>> found = new ArrayList<>();
        boolean complete = false;
        for (Frame frame : frames) {
            if (frame.event() instanceof Event.Life) {
                found.add(new ArrayList<>());
                complete = true;
            }
            complete &= !(frame.event() instanceof Event.Gap);
            if (complete) {
                found.get(found.size() - 1).add(frame);
            }
        }
        return found;
    }

    private List<Frame> minimizeIncarnation(List<Frame> incarnation) {
        List<Frame> trace = shortestPrefix(incarnation);
        for (int before = trace.size() + 1; trace.size() < before; ) {
            before = trace.size();
            List<Frame> current = trace;
            Set<String> calls = new LinkedHashSet<>();
            current.stream()
                    .map(frame -> frame.event().request())
                    .filter(r -> r != null)
                    .forEach(calls::add);
            trace = deltaDebug(current, new ArrayList<>(calls), kept -> current.stream()
                    .filter(frame -> frame.event().request() == null
                            || kept.contains(frame.event().request()))
                    .toList());
            List<Frame> traceOfFewerCalls = trace;
            Set<String> workers = new LinkedHashSet<>();
            traceOfFewerCalls.forEach(frame -> {
                if (frame.event() instanceof Event.Members update) {
                    update.workers().forEach(w -> workers.add(w.id()));
                }
            });
            trace = deltaDebug(traceOfFewerCalls, new ArrayList<>(workers), kept -> traceOfFewerCalls.stream()
                    .filter(frame -> frame.event().worker() == null
                            || kept.contains(frame.event().worker()))
                    .map(frame -> keepWorkers(frame, kept))
                    .toList());
            List<Frame> traceOfFewerWorkers = trace;
            List<Integer> positions = new ArrayList<>();
            for (int i = 1; i < traceOfFewerWorkers.size(); i++) {
                positions.add(i);
            }
            trace = deltaDebug(traceOfFewerWorkers, positions, kept -> {
                List<Frame> selected = new ArrayList<>(List.of(traceOfFewerWorkers.get(0)));
                kept.forEach(i -> selected.add(traceOfFewerWorkers.get(i)));
                return selected;
            });
        }
        return trace;
    }

    /**
     * Finds a short prefix that reproduces the failure by binary search. The result need not be the shortest one, because a prefix may
     * reproduce the failure although a longer prefix does not.
     */
    private List<Frame> shortestPrefix(List<Frame> incarnation) {
        int reproducing = incarnation.size();
        int tooShort = 1;
        while (reproducing - tooShort > 1) {
            int middle = (reproducing + tooShort) >>> 1;
            if (reproduces(incarnation.subList(0, middle))) {
                reproducing = middle;
            } else {
                tooShort = middle;
            }
        }
        return List.copyOf(incarnation.subList(0, reproducing));
    }

    private static Frame keepWorkers(Frame frame, Set<String> kept) {
        if (frame.event() instanceof Event.Members update) {
            List<Endpoint> workers =
                    update.workers().stream().filter(w -> kept.contains(w.id())).toList();
            return new Frame(
                    frame.at(),
                    new Event.Members(update.mode(), update.revision(), workers),
                    frame.acts(),
                    frame.thrown());
        }
        return frame;
    }

    private interface Subset<T> {
        List<Frame> framesWith(Set<T> kept);
    }

    /** The ddmin algorithm: removes smaller and smaller parts as long as the rest still reproduces the failure. */
    private <T> List<Frame> deltaDebug(List<Frame> trace, List<T> all, Subset<T> subset) {
        List<T> kept = new ArrayList<>(all);
        int parts = 2;
        while (!kept.isEmpty()) {
            int size = Math.max(1, (kept.size() + parts - 1) / parts);
            boolean reduced = false;
            for (int from = 0; from < kept.size() && !reduced; from += size) {
                List<T> rest = new ArrayList<>(kept.subList(0, from));
                rest.addAll(kept.subList(Math.min(kept.size(), from + size), kept.size()));
                if (reproduces(subset.framesWith(new LinkedHashSet<>(rest)))) {
                    kept = rest;
                    parts = Math.max(2, parts - 1);
                    reduced = true;
                }
            }
            if (!reduced && size == 1) {
                break;
            }
            parts = reduced ? parts : Math.min(kept.size(), parts * 2);
        }
        return kept.size() == all.size() ? trace : subset.framesWith(new LinkedHashSet<>(kept));
    }

    private boolean reproduces(List<Frame> trace) {
        return replays++ < maxReplays && predicate.test(replayed(trace));
    }

    /** Replays the events and returns them with the actions of the replay. */
    public static List<Frame> replayed(List<Frame> trace) {
        List<Frame> replayedFrames = new ArrayList<>();
        new Replayer().counterfactual(trace, Long.MAX_VALUE, new Replayer.Watcher() {
            @Override
            public void before(long index, Frame frame, wharfhinge.policy.Dispatcher dispatcher) {}

            @Override
            public void after(long index, Frame frame, List<RecordedAction> replayed) {
                replayedFrames.add(new Frame(frame.at(), frame.event(), replayed, ""));
            }
        });
        return replayedFrames;
    }

    /** Returns the lines of a fixture: a comment that describes it, then its frames. */
    public static List<String> fixtureLines(String description, List<Frame> frames) {
        List<String> lines = new ArrayList<>(List.of("# " + description.replace('\n', ' ')));
        lines.addAll(frames.stream().map(FrameJson::line).collect(Collectors.toList()));
        return lines;
    }
}
