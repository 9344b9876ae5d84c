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

/**
 * Variants of the gateway with one safeguard disabled, at least one for each rule; they show that the trace verifier finds the broken
 * rule.
 */
enum Mutant {
    /** Breaks rule 1: drops every third answer that does not come from a worker. */
    FORGETS_ANSWERS {
        @Override
        DispatcherFactory dispatchers() {
            return (now, seed, settings, actions) ->
                    new CacheAwareDispatcher(now, seed, settings, new AnswerDroppingActions(actions));
        }
    },
    /** Breaks rule 2: takes every class of calls as idempotent. */
    REPEATS_UNSAFE {
        @Override
        DispatcherFactory dispatchers() {
            return (now, seed, settings, actions) -> new CacheAwareDispatcher(
                    now,
                    seed,
                    with(
                            settings,
                            settings.classes().stream()
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
                            settings.functionLoading()),
                    actions);
        }
    },
    /** Breaks rule 3: does not learn that a worker drains or is gone. */
    DEAF_TO_DRAINS {
        @Override
        EndpointSource wrapEndpointSource(EndpointSource source) {
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
    /** Breaks rule 4: takes a worker that has just started as warmed up. */
    COLD_AS_WARM {
        @Override
        DispatcherFactory dispatchers() {
            return (now, seed, settings, actions) ->
                    withoutStartTimes(new CacheAwareDispatcher(now, seed, settings, actions));
        }
    },
    /** Breaks rule 5: has no load quota. */
    UNRATIONED {
        @Override
        DispatcherFactory dispatchers() {
            return (now, seed, settings, actions) -> {
                FunctionLoading loading = settings.functionLoading();
                return new CacheAwareDispatcher(
                        now,
                        seed,
                        with(
                                settings,
                                settings.classes(),
                                new FunctionLoading(
                                        loading.idleRetentionNanos(),
                                        loading.loadOrdersAllowed(),
                                        loading.onMiss(),
                                        loading.loadTimeoutNanos(),
                                        0,
                                        0,
                                        0,
                                        loading.idlePrice(),
                                        loading.memoryMbByKind(),
                                        loading.reportX0(),
                                        loading.reportX1(),
                                        loading.reportsConcurrency(),
                                        loading.reportsCacheStatus())),
                        actions);
            };
        }
    },
    /** Breaks rule 1 for chains: gives each step the whole deadline. */
    CLOCK_FOR_EACH_STEP {
        @Override
        GatewayConfig changeConfig(GatewayConfig config) {
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
    /** Breaks no rule, for comparison: never rejects a chain early. */
    NO_EARLY_REFUSAL {
        @Override
        GatewayConfig changeConfig(GatewayConfig config) {
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

    /** One mutant for each of the five rules. */
    static final List<Mutant> OF_EACH_RULE =
            List.of(FORGETS_ANSWERS, REPEATS_UNSAFE, DEAF_TO_DRAINS, COLD_AS_WARM, UNRATIONED);

    private static final int DROP_INTERVAL = 3;

    /** Creates the dispatcher of the gateway. */
    DispatcherFactory dispatchers() {
        return DispatcherFactory.CACHE_AWARE;
    }

    /** The source of endpoint updates of the gateway. */
    EndpointSource wrapEndpointSource(EndpointSource source) {
        return source;
    }

    /** The settings of the gateway. */
    GatewayConfig changeConfig(GatewayConfig config) {
        return config;
    }

    /** The rule that this mutant breaks; 0 if it breaks none. */
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

    /** Its name in tables and messages. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static DispatcherSettings with(
            DispatcherSettings settings, List<RequestClass> classes, FunctionLoading functionLoading) {
        return new DispatcherSettings(
                settings.groupSize(),
                settings.dispatcherNumber(),
                settings.tickNanos(),
                settings.zone(),
                settings.zones(),
                settings.kinds(),
                settings.discovery(),
                settings.weightReporting(),
                settings.priorityUnit(),
                settings.overQuotaPriorityWeight(),
                classes,
                settings.tenants(),
                functionLoading,
                settings.feedback(),
                settings.objectiveWeights(),
                settings.limits(),
                settings.protectionRules(),
                settings.prices(),
                settings.clientBehavior());
    }

    /** A dispatcher that does not learn when workers started, so that all count as warmed up. */
    private static Dispatcher withoutStartTimes(Dispatcher delegate) {
        return new ForwardingDispatcher(delegate) {
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

    private static final class AnswerDroppingActions extends ForwardingActions {
        private int answerCount;

        AnswerDroppingActions(DispatcherActions delegate) {
            super(delegate);
        }

        @Override
        public void reject(String request, long coolDownNanos) {
            if (++answerCount % DROP_INTERVAL != 0) {
                super.reject(request, coolDownNanos);
            }
        }

        @Override
        public void fail(String request) {
            if (++answerCount % DROP_INTERVAL != 0) {
                super.fail(request);
            }
        }
    }
}
