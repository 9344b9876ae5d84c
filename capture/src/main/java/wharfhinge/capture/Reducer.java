package wharfhinge.capture;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import wharfhinge.policy.Endpoint;

/**
 * Cuts one life of a capture down to the fewest workers, calls and other events that still show a symptom when they are
 * replayed: delta debugging (Zeller and Hildebrandt, 2002) over calls first, then workers, then single frames. What is left is a
 * story of its own: its decisions are those of a dispatcher that was told only this. Events that tell of attempts which the
 * shorter story never made are harmless, the dispatcher ignores them. One thread; bounded by a number of replays.
 */
public final class Reducer {
    private final Predicate<List<Frame>> symptom;
    private final int mostReplays;
    private int replays;

    /** {@code symptom} is asked of frames with the decisions that a replay made. */
    public Reducer(Predicate<List<Frame>> symptom, int mostReplays) {
        this.symptom = symptom;
        this.mostReplays = mostReplays;
    }

    /** Replays that were needed. */
    public int replays() {
        return replays;
    }

    /**
     * The first life that shows the symptom, cut down; its frames hold the decisions that they lead to.
     *
     * @throws IllegalArgumentException where no life shows it
     */
    public List<Frame> reduce(List<Frame> frames) {
        for (List<Frame> life : lives(frames)) {
            if (shows(life)) {
                return decided(cut(life));
            }
        }
        throw new IllegalArgumentException("no life of this capture shows the symptom");
    }

    private static List<List<Frame>> lives(List<Frame> frames) {
        List<List<Frame>> lives = new ArrayList<>();
        boolean whole = false;
        for (Frame frame : frames) {
            if (frame.event() instanceof Event.Life) {
                lives.add(new ArrayList<>());
                whole = true;
            }
            whole &= !(frame.event() instanceof Event.Gap);
            if (whole) {
                lives.get(lives.size() - 1).add(frame);
            }
        }
        return lives;
    }

    private List<Frame> cut(List<Frame> life) {
        List<Frame> story = until(life);
        for (int before = story.size() + 1; story.size() < before; ) {
            before = story.size();
            List<Frame> now = story;
            Set<String> calls = new LinkedHashSet<>();
            now.stream().map(f -> f.event().request()).filter(r -> r != null).forEach(calls::add);
            story = smaller(now, new ArrayList<>(calls), kept -> now.stream()
                    .filter(f -> f.event().request() == null
                            || kept.contains(f.event().request()))
                    .toList());
            List<Frame> fewCalls = story;
            Set<String> workers = new LinkedHashSet<>();
            fewCalls.forEach(f -> {
                if (f.event() instanceof Event.Members m) {
                    m.workers().forEach(w -> workers.add(w.id()));
                }
            });
            story = smaller(fewCalls, new ArrayList<>(workers), kept -> fewCalls.stream()
                    .filter(f -> f.event().worker() == null
                            || kept.contains(f.event().worker()))
                    .map(f -> only(f, kept))
                    .toList());
            List<Frame> fewWorkers = story;
            List<Integer> places = new ArrayList<>();
            for (int i = 1; i < fewWorkers.size(); i++) {
                places.add(i);
            }
            story = smaller(fewWorkers, places, kept -> {
                List<Frame> some = new ArrayList<>(List.of(fewWorkers.get(0)));
                kept.forEach(i -> some.add(fewWorkers.get(i)));
                return some;
            });
        }
        return story;
    }

    /** The shortest beginning that shows it; a longer one need not, so it is searched by halves and then trusted. */
    private List<Frame> until(List<Frame> life) {
        int shows = life.size();
        int not = 1;
        while (shows - not > 1) {
            int middle = (shows + not) >>> 1;
            if (shows(life.subList(0, middle))) {
                shows = middle;
            } else {
                not = middle;
            }
        }
        return List.copyOf(life.subList(0, shows));
    }

    private static Frame only(Frame frame, Set<String> kept) {
        if (frame.event() instanceof Event.Members m) {
            List<Endpoint> workers =
                    m.workers().stream().filter(w -> kept.contains(w.id())).toList();
            return new Frame(
                    frame.at(), new Event.Members(m.mode(), m.revision(), workers), frame.acts(), frame.thrown());
        }
        return frame;
    }

    private interface Without<T> {
        List<Frame> of(Set<T> kept);
    }

    /** ddmin: parts are left out, ever smaller ones, while what is left shows it. */
    private <T> List<Frame> smaller(List<Frame> story, List<T> all, Without<T> without) {
        List<T> kept = new ArrayList<>(all);
        int parts = 2;
        while (!kept.isEmpty()) {
            int size = Math.max(1, (kept.size() + parts - 1) / parts);
            boolean less = false;
            for (int from = 0; from < kept.size() && !less; from += size) {
                List<T> rest = new ArrayList<>(kept.subList(0, from));
                rest.addAll(kept.subList(Math.min(kept.size(), from + size), kept.size()));
                if (shows(without.of(new LinkedHashSet<>(rest)))) {
                    kept = rest;
                    parts = Math.max(2, parts - 1);
                    less = true;
                }
            }
            if (!less && size == 1) {
                break;
            }
            parts = less ? parts : Math.min(kept.size(), parts * 2);
        }
        return kept.size() == all.size() ? story : without.of(new LinkedHashSet<>(kept));
    }

    private boolean shows(List<Frame> story) {
        return replays++ < mostReplays && symptom.test(decided(story));
    }

    /** The same events with the decisions that they lead to. */
    public static List<Frame> decided(List<Frame> story) {
        List<Frame> decided = new ArrayList<>();
        new Replayer().counterfactual(story, Long.MAX_VALUE, new Replayer.Watcher() {
            @Override
            public void before(long index, Frame frame, wharfhinge.policy.Dispatcher dispatcher) {}

            @Override
            public void after(long index, Frame frame, List<Act> replayed) {
                decided.add(new Frame(frame.at(), frame.event(), replayed, ""));
            }
        });
        return decided;
    }

    /** A fixture's lines: what it shows, then its frames. */
    public static List<String> fixture(String about, List<Frame> frames) {
        List<String> lines = new ArrayList<>(List.of("# " + about.replace('\n', ' ')));
        lines.addAll(frames.stream().map(Text::line).collect(Collectors.toList()));
        return lines;
    }
}
