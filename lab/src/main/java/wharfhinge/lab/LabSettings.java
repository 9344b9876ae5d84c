package wharfhinge.lab;

import java.util.List;
import wharfhinge.policy.ClientBehavior;
import wharfhinge.policy.DeduplicationScope;
import wharfhinge.policy.Discovery;
import wharfhinge.policy.DispatchLimits;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Effect;
import wharfhinge.policy.FunctionLoading;
import wharfhinge.policy.LoadFeedback;
import wharfhinge.policy.LoadReporting;
import wharfhinge.policy.ObjectiveWeights;
import wharfhinge.policy.OnMissBehavior;
import wharfhinge.policy.Prices;
import wharfhinge.policy.PriorityUnit;
import wharfhinge.policy.ProtectionRules;
import wharfhinge.policy.RequestClass;
import wharfhinge.policy.WeightReporting;

/** Settings of the dispatchers of the simulated gateways. */
final class LabSettings {
    static final String REQUEST_CLASS = "sync";
    static final long TICK_NANOS = 2 * Timeline.MS;
    static final long SLOW_START_NANOS = 8000 * Timeline.MS;

    /** Memory of a copy of usual size. */
    static final double COPY_MB = 100;

    private LabSettings() {}

    static DispatcherSettings of(Storm storm, int index) {
        return new DispatcherSettings(
                storm.gateways(),
                index,
                TICK_NANOS,
                "z",
                List.of("z"),
                List.of("k"),
                Discovery.PUSHED,
                WeightReporting.NOMINAL,
                PriorityUnit.REQUEST,
                0,
                List.of(new RequestClass(
                        REQUEST_CLASS,
                        Effect.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        storm.latencyObjectiveMillis() * Timeline.MS,
                        storm.clientTimeoutMillis() * Timeline.MS,
                        1,
                        0.2,
                        false,
                        1)),
                List.of(),
                new FunctionLoading(
                        storm.idleRetentionMillis() * Timeline.MS,
                        true,
                        storm.loadsOnCall() ? OnMissBehavior.LOAD : OnMissBehavior.MISS,
                        10_000 * Timeline.MS,
                        storm.ration() == 0 ? 0 : Storm.RATION_S * 1000 * Timeline.MS,
                        Storm.RATION_RATIO,
                        storm.ration(),
                        0,
                        List.of(COPY_MB * storm.room()),
                        "",
                        "",
                        true,
                        true),
                new LoadFeedback(LoadReporting.PIGGYBACK, List.of("rif")),
                new ObjectiveWeights(1, 0, 0, 0),
                new DispatchLimits(
                        true,
                        false,
                        false,
                        false,
                        true,
                        5,
                        1000,
                        1000 * Timeline.MS,
                        250 * Timeline.MS,
                        15_000 * Timeline.MS,
                        100,
                        0,
                        0),
                new ProtectionRules(
                        0, 0.2, SLOW_START_NANOS, 2, 1000 * Timeline.MS, 2000 * Timeline.MS, 16 * Timeline.MS),
                new Prices(0, 0, 0, 0, 0, 0),
                new ClientBehavior(false));
    }
}
