package wharfhinge.capture;

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

/** Dispatcher settings for a few workers in one zone. */
final class SmallSettings {
    private static final long MS = 1_000_000L;

    private SmallSettings() {}

    static DispatcherSettings of(boolean loadOrdersOnly) {
        return of(loadOrdersOnly, 1);
    }

    static DispatcherSettings of(boolean loadOrdersOnly, int groupSize) {
        return new DispatcherSettings(
                groupSize,
                0,
                2 * MS,
                "z",
                List.of("z"),
                List.of("k"),
                Discovery.PUSHED,
                WeightReporting.NOMINAL,
                PriorityUnit.REQUEST,
                0,
                List.of(
                        new RequestClass(
                                "safe",
                                Effect.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                600 * MS,
                                2000 * MS,
                                1,
                                0.2,
                                false,
                                1),
                        new RequestClass(
                                "once",
                                Effect.AT_MOST_ONCE,
                                DeduplicationScope.ALL,
                                0,
                                600 * MS,
                                2000 * MS,
                                1,
                                0.2,
                                false,
                                1)),
                List.of(),
                new FunctionLoading(
                        8000 * MS,
                        loadOrdersOnly,
                        loadOrdersOnly ? OnMissBehavior.MISS : OnMissBehavior.LOAD,
                        10_000 * MS,
                        0,
                        0,
                        0,
                        0,
                        List.of(4096.0),
                        "",
                        "",
                        true,
                        true),
                new LoadFeedback(LoadReporting.PIGGYBACK, List.of("rif")),
                new ObjectiveWeights(1, 0, 0, 0),
                new DispatchLimits(
                        true, false, true, false, true, 3, 1000, 1000 * MS, 250 * MS, 15_000 * MS, 100, 0, 0),
                new ProtectionRules(0, 0.2, 8000 * MS, 2, 1000 * MS, 2000 * MS, 16 * MS),
                new Prices(0, 0, 0, 0, 0, 0),
                new ClientBehavior(false));
    }
}
