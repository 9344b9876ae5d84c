package wharfhinge.lab;

import java.util.List;
import wharfhinge.Dispatcher;

/** What a gateway before such a fleet is told at its start. */
final class LabSettings {
    static final String CLASS = "sync";
    static final long TICK_NS = 2 * Timeline.MS;
    static final long WARM_AFTER_NS = 8000 * Timeline.MS;

    static final double COPY_MB = 100;

    private LabSettings() {}

    static Dispatcher.Settings of(Storm s, int index) {
        return new Dispatcher.Settings(
                s.gateways(),
                index,
                TICK_NS,
                "z",
                List.of("z"),
                List.of("k"),
                Dispatcher.Discovery.PUSHED,
                Dispatcher.Weights.NOMINAL,
                Dispatcher.WorthBy.REQUEST,
                0,
                List.of(new Dispatcher.RequestClass(
                        CLASS,
                        Dispatcher.Effect.IDEMPOTENT,
                        Dispatcher.Group.ALL,
                        0,
                        s.aimMs() * Timeline.MS,
                        s.patienceMs() * Timeline.MS,
                        1,
                        0.2,
                        false,
                        1)),
                List.of(),
                new Dispatcher.FamilyInfo(
                        s.keepMs() * Timeline.MS,
                        true,
                        s.loadsOnCall() ? Dispatcher.NotLoaded.LOAD : Dispatcher.NotLoaded.MISS,
                        10_000 * Timeline.MS,
                        s.ration() == 0 ? 0 : Storm.RATION_S * 1000 * Timeline.MS,
                        Storm.RATION_RATIO,
                        s.ration(),
                        0,
                        List.of(COPY_MB * s.room()),
                        "",
                        "",
                        true,
                        true),
                new Dispatcher.Feedback(Dispatcher.Reports.PIGGYBACK, List.of("rif")),
                new Dispatcher.Goal(1, 0, 0, 0),
                new Dispatcher.Limits(
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
                new Dispatcher.Obligations(
                        0, 0.2, WARM_AFTER_NS, 2, 1000 * Timeline.MS, 2000 * Timeline.MS, 16 * Timeline.MS),
                new Dispatcher.Prices(0, 0, 0, 0, 0, 0),
                new Dispatcher.Callers(false));
    }
}
