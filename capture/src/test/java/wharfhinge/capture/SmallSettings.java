package wharfhinge.capture;

import java.util.List;
import wharfhinge.Dispatcher;
import wharfhinge.Dispatcher.Settings;

/** Settings of a small site. */
final class SmallSettings {
    private static final long MS = 1_000_000L;

    private SmallSettings() {}

    static Settings of(boolean ordersOnly) {
        return of(ordersOnly, 1);
    }

    static Settings of(boolean ordersOnly, int group) {
        return new Settings(
                group,
                0,
                2 * MS,
                "z",
                List.of("z"),
                List.of("k"),
                Dispatcher.Discovery.PUSHED,
                Dispatcher.Weights.NOMINAL,
                Dispatcher.WorthBy.REQUEST,
                0,
                List.of(
                        new Dispatcher.RequestClass(
                                "safe",
                                Dispatcher.Effect.IDEMPOTENT,
                                Dispatcher.Group.ALL,
                                0,
                                600 * MS,
                                2000 * MS,
                                1,
                                0.2,
                                false,
                                1),
                        new Dispatcher.RequestClass(
                                "once",
                                Dispatcher.Effect.AT_MOST_ONCE,
                                Dispatcher.Group.ALL,
                                0,
                                600 * MS,
                                2000 * MS,
                                1,
                                0.2,
                                false,
                                1)),
                List.of(),
                new Dispatcher.FamilyInfo(
                        8000 * MS,
                        ordersOnly,
                        ordersOnly ? Dispatcher.NotLoaded.MISS : Dispatcher.NotLoaded.LOAD,
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
                new Dispatcher.Feedback(Dispatcher.Reports.PIGGYBACK, List.of("rif")),
                new Dispatcher.Goal(1, 0, 0, 0),
                new Dispatcher.Limits(
                        true, false, true, false, true, 3, 1000, 1000 * MS, 250 * MS, 15_000 * MS, 100, 0, 0),
                new Dispatcher.Obligations(0, 0.2, 8000 * MS, 2, 1000 * MS, 2000 * MS, 16 * MS),
                new Dispatcher.Prices(0, 0, 0, 0, 0, 0),
                new Dispatcher.Callers(false));
    }
}
