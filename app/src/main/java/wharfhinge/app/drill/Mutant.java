package wharfhinge.app.drill;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import wharfhinge.capture.ForwardingActions;
import wharfhinge.capture.ForwardingDispatcher;
import wharfhinge.config.GatewayConfig;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EndpointSource;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Effect;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.FunctionLoading;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.RosterEntry;

/** Gateways with one guard broken on purpose, at least one for each rule, so that the judge is seen to find it. */
enum Mutant {
    /** Rule 1: every third answer that is no worker's is forgotten. */
    FORGETS_ANSWERS {
        @Override
        DispatcherFactory factory() {
            return (now, seed, settings, actions) ->
                    new CacheAwareDispatcher(now, seed, settings, new Forgetful(actions));
        }
    },
    /** Rule 2: takes every class for one that is safe to repeat. */
    REPEATS_UNSAFE {
        @Override
        DispatcherFactory factory() {
            return (now, seed, s, actions) -> new CacheAwareDispatcher(
                    now,
                    seed,
                    with(
                            s,
                            s.classes().stream()
                                    .map(c -> new RequestClass(
                                            c.name(),
                                            Effect.IDEMPOTENT,
                                            c.deduplicationScope(),
                                            0,
                                            c.latencyObjectiveNanos(),
                                            c.maxDeadlineNanos(),
                                            c.priorityWeight(),
                                            c.latePriorityWeight(),
                                            c.streaming(),
                                            c.latencyObjectiveStretch()))
                                    .toList(),
                            s.functionLoading()),
                    actions);
        }
    },
    /** Rule 3: does not hear that a worker leaves. */
    DEAF_TO_DRAINS {
        @Override
        EndpointSource heard(EndpointSource source) {
            return new EndpointSource() {
                @Override
                public void start(Consumer<EndpointUpdate> updates) {
                    source.start(update -> updates.accept(new EndpointUpdate(
                            update.mode() == EndpointUpdateMode.REJECTED
                                    ? EndpointUpdateMode.REJECTED
                                    : EndpointUpdateMode.INCREMENTAL,
                            update.revision(),
                            update.entries().stream()
                                    .map(e -> new RosterEntry(
                                            e.id(),
                                            e.zone(),
                                            e.kind(),
                                            e.cell(),
                                            RosterEntry.State.UP,
                                            e.weight(),
                                            e.ageMillis(),
                                            e.boot()))
                                    .toList())));
                }

                @Override
                public void watch(boolean on) {
                    source.watch(on);
                }

                @Override
                public void refresh() {
                    source.refresh();
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
            return (now, seed, settings, actions) -> allWarm(new CacheAwareDispatcher(now, seed, settings, actions));
        }
    },
    /** Rule 5: knows no ration. */
    UNRATIONED {
        @Override
        DispatcherFactory factory() {
            return (now, seed, s, actions) -> {
                FunctionLoading f = s.functionLoading();
                return new CacheAwareDispatcher(
                        now,
                        seed,
                        with(
                                s,
                                s.classes(),
                                new FunctionLoading(
                                        f.idleRetentionNanos(),
                                        f.loadOrdersAllowed(),
                                        f.onMiss(),
                                        f.loadTimeoutNanos(),
                                        0,
                                        0,
                                        0,
                                        f.idlePrice(),
                                        f.memoryMbByKind(),
                                        f.reportX0(),
                                        f.reportX1(),
                                        f.reportsConcurrency(),
                                        f.reportsCacheStatus())),
                        actions);
            };
        }
    },
    /** Rule 1, for chains: each step has the whole time for itself. */
    CLOCK_FOR_EACH_STEP {
        @Override
        GatewayConfig change(GatewayConfig config) {
            return config.withChains(c -> new ChainSettings(
                    ChainSettings.Clock.DEADLINE_PER_STEP,
                    false,
                    0,
                    false,
                    c.maxChains(),
                    c.maxSteps(),
                    c.tenantShare(),
                    c.maxHeldBytes(),
                    c.reserveNanos()));
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
                    c.prefetch(),
                    c.maxChains(),
                    c.maxSteps(),
                    c.tenantShare(),
                    c.maxHeldBytes(),
                    c.reserveNanos()));
        }
    };

    /** One for each of the five rules. */
    static final List<Mutant> OF_EACH_RULE =
            List.of(FORGETS_ANSWERS, REPEATS_UNSAFE, DEAF_TO_DRAINS, COLD_AS_WARM, UNRATIONED);

    private static final int FORGETS = 3;

    /** The decisions it runs with. */
    DispatcherFactory factory() {
        return DispatcherFactory.CACHE_AWARE;
    }

    /** The list as it hears it. */
    EndpointSource heard(EndpointSource source) {
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

    private static DispatcherSettings with(DispatcherSettings s, List<RequestClass> classes, FunctionLoading family) {
        return new DispatcherSettings(
                s.groupSize(),
                s.dispatcherNumber(),
                s.tickNanos(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.discovery(),
                s.weightReporting(),
                s.priorityUnit(),
                s.overQuotaPriorityWeight(),
                classes,
                s.tenants(),
                family,
                s.feedback(),
                s.objectiveWeights(),
                s.limits(),
                s.protectionRules(),
                s.prices(),
                s.clientBehavior());
    }

    /** Decisions that are told that no worker has just started. */
    private static Dispatcher allWarm(Dispatcher to) {
        return new ForwardingDispatcher(to) {
            @Override
            public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
                super.onEndpointUpdate(
                        now,
                        mode,
                        revision,
                        entries.stream()
                                .map(w -> new Endpoint(
                                        w.id(), w.zone(), w.kind(), w.cell(), w.availability(), w.weight(), 0))
                                .toList());
            }
        };
    }

    private static final class Forgetful extends ForwardingActions {
        private int count;

        Forgetful(DispatcherActions to) {
            super(to);
        }

        @Override
        public void reject(String request, long coolDownNanos) {
            if (++count % FORGETS != 0) {
                super.reject(request, coolDownNanos);
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
