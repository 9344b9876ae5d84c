package wharfhinge.config;

import static wharfhinge.config.Units.NANOS_PER_MILLI;

import java.util.List;
import java.util.Locale;
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
import wharfhinge.policy.Tenant;
import wharfhinge.policy.WeightReporting;

/** Maps a valid settings file to the settings of the policy. */
final class DispatcherSettingsMapper {
    private static final int CPU_NOT_LIMITED = 0;
    private static final String NO_REPORT_NAME = "";

    private final SettingsXml settings;

    private DispatcherSettingsMapper(SettingsXml settings) {
        this.settings = settings;
    }

    static DispatcherSettings map(SettingsXml settings) {
        return new DispatcherSettingsMapper(settings).map();
    }

    private DispatcherSettings map() {
        WorkerSettingsXml workers = settings.workers;
        return new DispatcherSettings(
                settings.gateway.groupSize,
                settings.gateway.number,
                settings.gateway.tickMillis * NANOS_PER_MILLI,
                settings.gateway.zone,
                settings.zones.names,
                workers.kinds.stream().map(kind -> kind.name).toList(),
                constant(Discovery.class, settings.endpointSource.discovery),
                constant(WeightReporting.class, workers.weightReporting),
                constant(PriorityUnit.class, settings.classes.priorityUnit),
                settings.tenants.overQuotaPriorityWeight,
                requestClasses(),
                tenants(),
                functionLoading(),
                new LoadFeedback(constant(LoadReporting.class, workers.loadReporting), workers.metricNames),
                objectiveWeights(),
                limits(),
                protectionRules(),
                prices(),
                new ClientBehavior(settings.clients.marksRetries));
    }

    private List<RequestClass> requestClasses() {
        return settings.classes.classes.stream()
                .map(DispatcherSettingsMapper::requestClass)
                .toList();
    }

    private static RequestClass requestClass(PolicySettingsXml.CallClass callClass) {
        return new RequestClass(
                callClass.name,
                constant(Effect.class, callClass.effect),
                constant(DeduplicationScope.class, callClass.deduplicationScope),
                callClass.deduplicationWindowMillis * NANOS_PER_MILLI,
                callClass.latencyObjectiveMillis * NANOS_PER_MILLI,
                callClass.maxDeadlineMillis * NANOS_PER_MILLI,
                callClass.priorityWeight,
                callClass.latePriorityWeight,
                callClass.streaming,
                callClass.latencyObjectiveStretch);
    }

    private List<Tenant> tenants() {
        return settings.tenants.tenants.stream()
                .map(tenant -> new Tenant(tenant.name, tenant.share, tenant.quotaPerSecond))
                .toList();
    }

    private FunctionLoading functionLoading() {
        WorkerSettingsXml.Loading loading = settings.workers.loading;
        WorkerSettingsXml.LoadQuota quota = loading.quota == null ? new WorkerSettingsXml.LoadQuota() : loading.quota;
        return new FunctionLoading(
                loading.idleRetentionMillis * NANOS_PER_MILLI,
                loading.loadOrdersAllowed,
                constant(OnMissBehavior.class, loading.onMiss),
                loading.loadTimeoutMillis * NANOS_PER_MILLI,
                quota.periodMillis * NANOS_PER_MILLI,
                quota.perRequest,
                quota.base,
                loading.idlePrice,
                settings.workers.kinds.stream().map(kind -> kind.memoryMb).toList(),
                NO_REPORT_NAME,
                NO_REPORT_NAME,
                loading.reportsConcurrency,
                loading.reportsCacheStatus);
    }

    private ObjectiveWeights objectiveWeights() {
        PolicySettingsXml.Goal goal = settings.goal;
        return new ObjectiveWeights(goal.overall, goal.worstWindow, goal.worstClass, goal.worstTenant);
    }

    private DispatchLimits limits() {
        WorkerSettingsXml workers = settings.workers;
        ClientSettingsXml.Clients clients = settings.clients;
        return new DispatchLimits(
                workers.cancellation,
                !settings.peers.peers.isEmpty(),
                workers.probes,
                workers.hedging,
                clients.acceptsRetryAfter,
                workers.maxAttempts,
                clients.maxPendingCalls,
                clients.maxRetryAfterMillis * NANOS_PER_MILLI,
                workers.connectTimeoutMillis * NANOS_PER_MILLI,
                workers.idleTimeoutMillis * NANOS_PER_MILLI,
                workers.streamsPerConnection,
                CPU_NOT_LIMITED,
                CPU_NOT_LIMITED);
    }

    private ProtectionRules protectionRules() {
        PolicySettingsXml.Rules rules = settings.rules;
        return new ProtectionRules(
                rules.pollWithinMillis * NANOS_PER_MILLI,
                rules.slowStartFrom,
                rules.slowStartMillis * NANOS_PER_MILLI,
                rules.overloadFactor,
                rules.overloadWindowMillis * NANOS_PER_MILLI,
                rules.drainWithinMillis * NANOS_PER_MILLI,
                rules.answerGraceMillis * NANOS_PER_MILLI);
    }

    private Prices prices() {
        PolicySettingsXml.PriceList prices = settings.prices;
        return new Prices(
                prices.crossZone, prices.wastedLoad, prices.origin, prices.probe, prices.peer, prices.lateFailure);
    }

    /** The constant for a value of the settings file: {@code at-most-once} is {@code AT_MOST_ONCE}. */
    private static <E extends Enum<E>> E constant(Class<E> type, String value) {
        return Enum.valueOf(type, value.replace('-', '_').toUpperCase(Locale.ROOT));
    }
}
