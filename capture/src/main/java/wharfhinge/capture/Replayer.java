package wharfhinge.capture;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.UnaryOperator;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherSettings;

/**
 * Tells a capture's events to fresh dispatchers and holds what they decide against what was decided. From a gap on nothing can
 * be said until the next life begins. One thread.
 */
public final class Replayer {
    private static final int BEFORE = 10;

    /** The first difference. */
    public record Difference(long index, Frame captured, List<Act> replayed, String thrown, List<Frame> before) {
        /** For people. */
        public List<String> lines() {
            List<String> lines = new ArrayList<>();
            lines.add("frame " + index + " differs; the " + before.size() + " frames before it:");
            before.forEach(f -> lines.add("  " + Text.line(f)));
            lines.add("event:    " + Text.line(new Frame(captured.at(), captured.event(), List.of(), "")));
            lines.add("captured: " + said(captured.acts(), captured.thrown()));
            lines.add("replayed: " + said(replayed, thrown));
            return lines;
        }

        private static String said(List<Act> acts, String thrown) {
            return acts.stream().map(Act::line).toList() + (thrown.isEmpty() ? "" : " and threw " + thrown);
        }
    }

    /**
     * What a replay came to.
     *
     * @param compared frames whose decisions were compared
     * @param skipped  frames after a gap, before the next life
     * @param gaps     frames lost, as far as it is told
     */
    public record Result(Difference difference, long compared, long skipped, long lives, long gaps) {}

    /** Told of each frame as it is replayed, before the dispatcher is told the event. */
    public interface Watcher {
        /** {@code replayed} is the dispatcher as it stands; null before its life begins. */
        void before(long index, Frame frame, Dispatcher dispatcher);

        /** What was decided on the same frame. */
        default void after(long index, Frame frame, List<Act> replayed) {}
    }

    private final Recorder.Maker maker;
    private final UnaryOperator<DispatcherSettings> settings;

    /** Replays into {@link CacheAwareDispatcher}. */
    public Replayer() {
        this(CacheAwareDispatcher::new, UnaryOperator.identity());
    }

    /** Replays into another dispatcher, or with other settings. */
    public Replayer(Recorder.Maker maker, UnaryOperator<DispatcherSettings> settings) {
        this.maker = maker;
        this.settings = settings;
    }

    /**
     * Replays until the first difference.
     *
     * @param untilNanos frames later than this on the capture's clock are left out
     * @param watcher may be null
     */
    public Result replay(List<Frame> frames, long untilNanos, Watcher watcher) {
        return run(frames, untilNanos, watcher, true);
    }

    /** Replays to the end whatever differs; what was captured is not compared. */
    public Result counterfactual(List<Frame> frames, long untilNanos, Watcher watcher) {
        return run(frames, untilNanos, watcher, false);
    }

    private Result run(List<Frame> frames, long untilNanos, Watcher watcher, boolean compare) {
        Dispatcher dispatcher = null;
        Acts acts = new Acts(null);
        Deque<Frame> before = new ArrayDeque<>();
        long compared = 0;
        long skipped = 0;
        long lives = 0;
        long gaps = 0;
        for (int i = 0; i < frames.size(); i++) {
            Frame frame = frames.get(i);
            if (frame.at() > untilNanos) {
                break;
            }
            String thrown = "";
            if (watcher != null) {
                watcher.before(i, frame, dispatcher);
            }
            if (frame.event() instanceof Event.Gap gap) {
                gaps += gap.lost();
                dispatcher = null;
                continue;
            } else if (frame.event() instanceof Event.Life life) {
                acts = new Acts(null);
                dispatcher = maker.create(frame.at(), life.seed(), settings.apply(life.settings()), acts);
                lives++;
            } else if (dispatcher == null) {
                skipped++;
                continue;
            } else {
                thrown = told(frame, dispatcher);
            }
            List<Act> decided = acts.take();
            if (watcher != null) {
                watcher.after(i, frame, decided);
            }
            compared++;
            if (compare && (!decided.equals(frame.acts()) || !thrown.equals(frame.thrown()))) {
                return new Result(
                        new Difference(i, frame, decided, thrown, List.copyOf(before)), compared, skipped, lives, gaps);
            }
            before.add(frame);
            if (before.size() > BEFORE) {
                before.poll();
            }
        }
        return new Result(null, compared, skipped, lives, gaps);
    }

    private static String told(Frame frame, Dispatcher dispatcher) {
        try {
            frame.event().tell(frame.at(), dispatcher);
            return "";
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            return e.getClass().getName();
        }
    }
}
