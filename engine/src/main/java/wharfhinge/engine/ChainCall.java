package wharfhinge.engine;

import java.util.List;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.protocol.CallHead;

/**
 * A chain as a client listener submits it.
 *
 * @param heads         the call head of each step, in the plan's order
 * @param inputs        the sources of each step's input: {@link #CLIENT} or ids of steps
 * @param input         the input that the client sent
 * @param key           the idempotency key under which finished steps are kept for a retry, or null
 * @param digest        digest of the chain and its input; a key is valid for one digest only
 * @param deadlineNanos how long the client waits, counted from {@code receivedAt}
 * @param receivedAt    {@link System#nanoTime} when its last byte was received
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

    /** A copy of this chain with another tenant; {@code newTenant} is null for a chain without a tenant. */
    public ChainCall withTenant(String newTenant) {
        return new ChainCall(
                plan, heads, inputs, input, id, newTenant, key, digest, deadlineNanos, receivedAt, joiner, listener);
    }

    /** Combines several named inputs of a step into one. */
    @FunctionalInterface
    public interface Joiner {
        /** Joins the parts; {@code names} holds the name of each part, in the same order. */
        byte[] join(List<String> names, List<byte[]> parts);
    }

    /**
     * The answer of one served step.
     *
     * @param worker    null if the answer was kept from an earlier call under the same key
     * @param tookNanos 0 if the answer was kept from an earlier call
     * @param loaded    whether the worker had to load the function first
     */
    public record StepAnswer(String worker, long tookNanos, boolean loaded, byte[] body, String contentType) {}

    /** Receives the chain's one final answer, on the engine's thread. */
    @FunctionalInterface
    public interface Listener {
        /** The chain ended. {@code answers} holds null for each step that was served neither in this call nor in an earlier one. */
        void onCompleted(ChainResult result, List<StepAnswer> answers);
    }
}
