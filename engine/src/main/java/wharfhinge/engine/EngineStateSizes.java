package wharfhinge.engine;

import wharfhinge.policy.DispatcherStateSizes;

/**
 * How much state an engine holds, for metrics.
 *
 * @param timers       timers that are not due yet
 * @param pendingCalls calls that are not answered or have attempts that have not ended
 * @param functions    functions whose properties are known
 */
public record EngineStateSizes(int timers, int pendingCalls, int functions, DispatcherStateSizes dispatcher) {}
