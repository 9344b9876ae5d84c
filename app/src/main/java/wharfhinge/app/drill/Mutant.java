package wharfhinge.app.drill;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import wharfhinge.Choice;
import wharfhinge.Dispatcher;
import wharfhinge.Dispatcher.Actions;
import wharfhinge.Dispatcher.Effect;
import wharfhinge.Dispatcher.FamilyInfo;
import wharfhinge.Dispatcher.ListMode;
import wharfhinge.Dispatcher.RequestClass;
import wharfhinge.Dispatcher.Settings;
import wharfhinge.Dispatcher.Worker;
import wharfhinge.capture.Forwarding;
import wharfhinge.capture.ForwardingActions;
import wharfhinge.config.GatewayConfig;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.gateway.loop.DispatcherFactory;
import wharfhinge.gateway.roster.FleetSource;
import wharfhinge.gateway.roster.FleetUpdate;
import wharfhinge.protocol.RosterEntry;

/** Gateways with one guard broken on purpose, at least one for each rule, so that the judge is seen to find it. */
enum Mutant {
    /** Rule 1: every third answer that is no worker's is forgotten. */
    FORGETS_ANSWERS {
        @Override
        DispatcherFactory factory() {
            return (now, seed, settings, actions) -> new Choice(now, seed, settings, new Forgetful(actions));
        }
    },
    /** Rule 2: takes every class for one that is safe to repeat. */
    REPEATS_UNSAFE {
        @Override
        DispatcherFactory factory() {
            return (now, seed, s, actions) -> new Choice(
                    now,
                    seed,
                    with(
                            s,
                            s.classes().stream()
                                    .map(c -> new RequestClass(
                                            c.name(),
                                            Effect.IDEMPOTENT,
                                            c.group(),
                                            0,
                                            c.onTimeNs(),
                                            c.hardLimitNs(),
                                            c.worth(),
                                            c.lateWorth(),
                                            c.stream(),
                                            c.aimStretch()))
                                    .toList(),
                            s.familyInfo()),
                    actions);
        }
    },
    /** Rule 3: does not hear that a worker leaves. */
    DEAF_TO_DRAINS {
        @Override
        FleetSource heard(FleetSource source) {
            return new FleetSource() {
                @Override
                public void start(Consumer<FleetUpdate> updates) {
                    source.start(update -> updates.accept(new FleetUpdate(
                            update.mode() == ListMode.REFUSED ? ListMode.REFUSED : ListMode.CHANGES,
                            update.revision(),
                            update.entries().stream()
                                    .map(e -> new RosterEntry(
                                            e.id(),
                                            e.zone(),
                                            e.kind(),
                                            e.cell(),
                                            RosterEntry.State.UP,
                                            e.weight(),
                                            e.ageMs(),
                                            e.boot()))
                                    .toList())));
                }

                @Override
                public void listen(boolean on) {
                    source.listen(on);
                }

                @Override
                public void reload() {
                    source.reload();
                }

                @Override
                public void close() {
                    source.close();
                }
            };
        }
    },
    /** Rule 4: takes a worker that has just started for a warm one. */
    COLD_AS_WARM {
        @Override
        DispatcherFactory factory() {
            return (now, seed, settings, actions) -> allWarm(new Choice(now, seed, settings, actions));
        }
    },
    /** Rule 5: knows no ration. */
    UNRATIONED {
        @Override
        DispatcherFactory factory() {
            return (now, seed, s, actions) -> {
                FamilyInfo f = s.familyInfo();
                return new Choice(
                        now,
                        seed,
                        with(
                                s,
                                s.classes(),
                                new FamilyInfo(
                                        f.keepNs(),
                                        f.loadControl(),
                                        f.notLoaded(),
                                        f.loadWaitNs(),
                                        0,
                                        0,
                                        0,
                                        f.priceOfIdle(),
                                        f.ramMbByKind(),
                                        f.reportX0(),
                                        f.reportX1(),
                                        f.saysCompany(),
                                        f.warmNotes())),
                        actions);
            };
        }
    },
    /** Rule 1, for chains: each step has the whole time for itself. */
    CLOCK_FOR_EACH_STEP {
        @Override
        GatewayConfig change(GatewayConfig config) {
            return config.withChains(c -> new ChainSettings(
                    ChainSettings.Clock.EACH_STEP,
                    false,
                    0,
                    false,
                    c.mostChains(),
                    c.mostSteps(),
                    c.tenantShare(),
                    c.mostBytes(),
                    c.reserveNs()));
        }
    },
    /** No rule is broken; for comparison: chains are never refused early. */
    NO_EARLY_REFUSAL {
        @Override
        GatewayConfig change(GatewayConfig config) {
            return config.withChains(c -> new ChainSettings(
                    c.clock(),
                    false,
                    0,
                    c.loadAhead(),
                    c.mostChains(),
                    c.mostSteps(),
                    c.tenantShare(),
                    c.mostBytes(),
                    c.reserveNs()));
        }
    };

    /** One for each of the five rules. */
    static final List<Mutant> OF_EACH_RULE =
            List.of(FORGETS_ANSWERS, REPEATS_UNSAFE, DEAF_TO_DRAINS, COLD_AS_WARM, UNRATIONED);

    private static final int FORGETS = 3;

    /** The decisions it runs with. */
    DispatcherFactory factory() {
        return DispatcherFactory.CHOICE;
    }

    /** The list as it hears it. */
    FleetSource heard(FleetSource source) {
        return source;
    }

    /** The settings it runs with. */
    GatewayConfig change(GatewayConfig config) {
        return config;
    }

    /** The rule whose guard is broken; 0 where none is. */
    int rule() {
        return switch (this) {
            case FORGETS_ANSWERS, CLOCK_FOR_EACH_STEP -> 1;
            case REPEATS_UNSAFE -> 2;
            case DEAF_TO_DRAINS -> 3;
            case COLD_AS_WARM -> 4;
            case UNRATIONED -> 5;
            case NO_EARLY_REFUSAL -> 0;
        };
    }

    /** Its name on the command line. */
    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Settings with(Settings s, List<RequestClass> classes, FamilyInfo family) {
        return new Settings(
                s.groupSize(),
                s.myNumber(),
                s.tickNs(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.discovery(),
                s.weights(),
                s.worthBy(),
                s.overShareWorth(),
                classes,
                s.realms(),
                family,
                s.feedback(),
                s.goal(),
                s.limits(),
                s.obligations(),
                s.prices(),
                s.callers());
    }

    /** Decisions that are told that no worker has just started. */
    private static Dispatcher allWarm(Dispatcher to) {
        return new Forwarding(to) {
            @Override
            public void members(long now, ListMode mode, long revision, List<Worker> entries) {
                super.members(
                        now,
                        mode,
                        revision,
                        entries.stream()
                                .map(w -> new Worker(
                                        w.id(), w.zone(), w.kind(), w.cell(), w.availability(), w.weight(), 0))
                                .toList());
            }
        };
    }

    private static final class Forgetful extends ForwardingActions {
        private int count;

        Forgetful(Actions to) {
            super(to);
        }

        @Override
        public void refuse(String request, long coolDownNs) {
            if (++count % FORGETS != 0) {
                super.refuse(request, coolDownNs);
            }
        }

        @Override
        public void fail(String request) {
            if (++count % FORGETS != 0) {
                super.fail(request);
            }
        }
    }
}
