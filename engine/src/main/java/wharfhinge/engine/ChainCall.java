package wharfhinge.engine;

import java.util.List;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.protocol.CallHead;

/**
 * A chain as a client listener submits it.
 *
 * @param heads      of each step, in the plan's order
 * @param inputs     for each step the names that its input is made of: {@link #CLIENT} or ids of steps
 * @param input      what the client sent
 * @param key        under which finished steps are kept for a retry, or null
 * @param digest     of the chain's text; a key is valid for one text only
 * @param deadlineNanos how long the client waits, counted from {@code receivedAt}
 * @param receivedAt {@link System#nanoTime} when its last byte was received
 */
public record ChainCall(
        ChainPlan plan,
        List<CallHead> heads,
        List<List<String>> inputs,
        byte[] input,
        String id,
        String tenant,
        String key,
        String digest,
        long deadlineNanos,
        long receivedAt,
        Joiner joiner,
        Listener listener) {
    /** The name of the client's input among a step's inputs. */
    public static final String CLIENT = "client";

    /** The same chain of another tenant, or of none (null). */
    public ChainCall withTenant(String other) {
        return new ChainCall(
                plan, heads, inputs, input, id, other, key, digest, deadlineNanos, receivedAt, joiner, listener);
    }

    /** Makes one input of several, by their names. */
    @FunctionalInterface
    public interface Joiner {
        /** Both lists are of the same length. */
        byte[] join(List<String> names, List<byte[]> parts);
    }

    /** The answer of one step; {@code body} is null unless it was served. */
    public record StepAnswer(String worker, long tookNanos, boolean loaded, byte[] body, String contentType) {}

    /** Receives the chain's one final answer, on the engine's thread. */
    @FunctionalInterface
    public interface Listener {
        /** {@code answers} has null where a step was not served in this attempt or an earlier one. */
        void onCompleted(ChainResult end, List<StepAnswer> answers);
    }
}
