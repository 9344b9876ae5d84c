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
 * Replays a capture's events into fresh dispatchers and compares their actions with the recorded ones. After a gap, frames are
 * skipped until the next incarnation starts. Not thread-safe.
 */
public final class Replayer {
    private static final int CONTEXT_FRAMES = 10;

    /** The first frame whose replayed actions differ from the captured ones, with the frames before it. */
    public record Difference(
            long index, Frame captured, List<RecordedAction> replayed, String thrown, List<Frame> before) {
        /** Describes the difference in readable lines. */
        public List<String> lines() {
            List<String> lines = new ArrayList<>();
            lines.add("frame " + index + " differs; the " + before.size() + " frames before it:");
            before.forEach(f -> lines.add("  " + FrameJson.line(f)));
            lines.add("event:    " + FrameJson.line(new Frame(captured.at(), captured.event(), List.of(), "")));
            lines.add("captured: " + describe(captured.acts(), captured.thrown()));
            lines.add("replayed: " + describe(replayed, thrown));
            return lines;
        }

        private static String describe(List<RecordedAction> acts, String thrown) {
            return acts.stream().map(RecordedAction::line).toList() + (thrown.isEmpty() ? "" : " and threw " + thrown);
        }
    }

    /**
     * The result of a replay.
     *
     * @param compared frames whose actions were compared
     * @param skipped  frames after a gap, before the next incarnation
     * @param gaps     lost frames, as counted by the gaps in the capture
     */
    public record Result(Difference difference, long compared, long skipped, long incarnations, long gaps) {}

    /** Observes each frame as it is replayed. */
    public interface Watcher {
        /** Before the event is replayed; {@code dispatcher} is null outside an incarnation. */
        void before(long index, Frame frame, Dispatcher dispatcher);

        /** After the event was replayed, with the resulting actions. */
        default void after(long index, Frame frame, List<RecordedAction> replayed) {}
    }

    private final Recorder.DispatcherConstructor constructor;
    private final UnaryOperator<DispatcherSettings> settings;

    /** Replays into {@link CacheAwareDispatcher}. */
    public Replayer() {
        this(CacheAwareDispatcher::new, UnaryOperator.identity());
    }

    /** Replays into another dispatcher, or with other settings. */
    public Replayer(Recorder.DispatcherConstructor constructor, UnaryOperator<DispatcherSettings> settings) {
        this.constructor = constructor;
        this.settings = settings;
    }

    /**
     * Replays until the first difference.
     *
     * @param untilNanos replay stops at the first frame later than this on the capture's clock
     * @param watcher    may be null
     */
    public Result replay(List<Frame> frames, long untilNanos, Watcher watcher) {
        return run(frames, untilNanos, watcher, true);
    }

    /** Replays to the end without comparing with the captured actions. */
    public Result counterfactual(List<Frame> frames, long untilNanos, Watcher watcher) {
        return run(frames, untilNanos, watcher, false);
    }

    private Result run(List<Frame> frames, long untilNanos, Watcher watcher, boolean compare) {
        Dispatcher dispatcher = null;
        ActionRecorder actions = new ActionRecorder(null);
        Deque<Frame> before = new ArrayDeque<>();
        long compared = 0;
        long skipped = 0;
        long incarnations = 0;
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
                actions = new ActionRecorder(null);
                dispatcher = constructor.create(frame.at(), life.seed(), settings.apply(life.settings()), actions);
                incarnations++;
            } else if (dispatcher == null) {
                skipped++;
                continue;
            } else {
                thrown = replayEvent(frame, dispatcher);
            }
            List<RecordedAction> replayedActions = actions.drain();
            if (watcher != null) {
                watcher.after(i, frame, replayedActions);
            }
            compared++;
            if (compare && (!replayedActions.equals(frame.acts()) || !thrown.equals(frame.thrown()))) {
                return new Result(
                        new Difference(i, frame, replayedActions, thrown, List.copyOf(before)),
                        compared,
                        skipped,
                        incarnations,
                        gaps);
            }
            before.add(frame);
            if (before.size() > CONTEXT_FRAMES) {
                before.poll();
            }
        }
        return new Result(null, compared, skipped, incarnations, gaps);
    }

    private static String replayEvent(Frame frame, Dispatcher dispatcher) {
        try {
            frame.event().applyTo(frame.at(), dispatcher);
            return "";
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            return e.getClass().getName();
        }
    }
}
