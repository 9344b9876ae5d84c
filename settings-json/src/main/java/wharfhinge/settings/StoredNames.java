package wharfhinge.settings;

import java.util.HashMap;
import java.util.Map;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.ClientBehavior;
import wharfhinge.policy.DispatchLimits;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.FunctionLoading;
import wharfhinge.policy.LoadFeedback;
import wharfhinge.policy.ObjectiveWeights;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Prices;
import wharfhinge.policy.ProtectionRules;
import wharfhinge.policy.Request;
import wharfhinge.policy.RequestClass;
import wharfhinge.policy.Tenant;

/**
 * Maps Java names to the names stored in settings and captures, which stay as documented when a Java name changes. A record component
 * without an entry is stored under its own name, with {@code Nanos} as {@code Ns} and {@code Millis} as {@code Ms}. Immutable; safe for
 * use by several threads.
 */
public final class StoredNames {
    private static final Map<Class<?>, Map<String, String>> KEYS = new HashMap<>();
    private static final Map<Enum<?>, String> WORDS = new HashMap<>();

    static {
        key(DispatcherSettings.class, "dispatcherNumber", "myNumber");
        key(DispatcherSettings.class, "weightReporting", "weights");
        key(DispatcherSettings.class, "priorityUnit", "worthBy");
        key(DispatcherSettings.class, "overQuotaPriorityWeight", "overShareWorth");
        key(DispatcherSettings.class, "tenants", "realms");
        key(DispatcherSettings.class, "functionLoading", "familyInfo");
        key(DispatcherSettings.class, "objectiveWeights", "goal");
        key(DispatcherSettings.class, "protectionRules", "obligations");
        key(DispatcherSettings.class, "clientBehavior", "callers");
        key(RequestClass.class, "deduplicationScope", "group");
        key(RequestClass.class, "deduplicationWindowNanos", "windowNs");
        key(RequestClass.class, "latencyObjectiveNanos", "onTimeNs");
        key(RequestClass.class, "maxDeadlineNanos", "hardLimitNs");
        key(RequestClass.class, "priorityWeight", "worth");
        key(RequestClass.class, "latePriorityWeight", "lateWorth");
        key(RequestClass.class, "streaming", "stream");
        key(RequestClass.class, "latencyObjectiveStretch", "aimStretch");
        key(Tenant.class, "quotaPerSecond", "quotaPerS");
        key(FunctionLoading.class, "idleRetentionNanos", "keepNs");
        key(FunctionLoading.class, "loadOrdersAllowed", "loadControl");
        key(FunctionLoading.class, "onMiss", "notLoaded");
        key(FunctionLoading.class, "loadTimeoutNanos", "loadWaitNs");
        key(FunctionLoading.class, "loadQuotaPeriodNanos", "loadPeriodNs");
        key(FunctionLoading.class, "loadQuotaPerRequest", "loadRatio");
        key(FunctionLoading.class, "loadQuotaBase", "loadsAnyway");
        key(FunctionLoading.class, "idlePrice", "priceOfIdle");
        key(FunctionLoading.class, "memoryMbByKind", "ramMbByKind");
        key(FunctionLoading.class, "reportsConcurrency", "saysCompany");
        key(FunctionLoading.class, "reportsCacheStatus", "warmNotes");
        key(LoadFeedback.class, "reporting", "how");
        key(LoadFeedback.class, "metricNames", "names");
        key(ObjectiveWeights.class, "overall", "whole");
        key(DispatchLimits.class, "cancellation", "cancelling");
        key(DispatchLimits.class, "peerMessages", "peers");
        key(DispatchLimits.class, "hedging", "secondCopies");
        key(DispatchLimits.class, "connectTimeoutNanos", "dialTimeoutNs");
        key(DispatchLimits.class, "connectionIdleNanos", "connIdleNs");
        key(DispatchLimits.class, "streamsPerConnection", "streamsPerConn");
        key(DispatchLimits.class, "cpuMicrosPerSecond", "cpuUsPerS");
        key(DispatchLimits.class, "cpuMicrosPerRequest", "cpuUsPerRequest");
        key(ProtectionRules.class, "pollWithinNanos", "askWithinNs");
        key(ProtectionRules.class, "slowStartFrom", "coldFrom");
        key(ProtectionRules.class, "slowStartNanos", "warmAfterNs");
        key(ProtectionRules.class, "overloadWindowNanos", "tipAfterNs");
        key(ProtectionRules.class, "drainWithinNanos", "stopSendingWithinNs");
        key(ProtectionRules.class, "answerGraceNanos", "graceToAnswerNs");
        key(Prices.class, "wastedLoad", "waste");
        key(Prices.class, "lateFailure", "lateFail");
        key(ClientBehavior.class, "marksRetries", "marksRetry");
        key(Request.class, "concurrencyPerCopy", "lanes");
        key(Request.class, "retry", "repeat");
        key(AttemptCompletion.class, "cacheStatus", "note");
        key(AttemptCompletion.class, "concurrentOnWorker", "company");
        key(AttemptCompletion.class, "answered", "settled");
        WORDS.put(Outcome.SATURATED, "FULL");
        WORDS.put(Outcome.SUPERSEDED, "MOOT");
        WORDS.put(Outcome.NOT_LOADED, "MISS");
        WORDS.put(Availability.REMOVED, "WITHDRAWN");
        WORDS.put(EndpointUpdateMode.INCREMENTAL, "CHANGES");
        WORDS.put(EndpointUpdateMode.FULL, "ALL");
        WORDS.put(EndpointUpdateMode.SNAPSHOT, "REMEMBERED");
        WORDS.put(EndpointUpdateMode.REJECTED, "REFUSED");
        WORDS.put(CacheStatus.UNKNOWN, "NONE");
        WORDS.put(CacheStatus.HIT, "FOUND_LOADED");
        WORDS.put(CacheStatus.LOAD_STARTED, "BEGAN_LOAD");
        WORDS.put(CacheStatus.LOAD_AWAITED, "WAITED_FOR_LOAD");
    }

    private StoredNames() {}

    private static void key(Class<?> record, String component, String stored) {
        KEYS.computeIfAbsent(record, type -> new HashMap<>()).put(component, stored);
    }

    /** The key under which a record component is stored, in camel case. */
    public static String key(Class<?> record, String component) {
        String stored = KEYS.getOrDefault(record, Map.of()).get(component);
        return stored != null ? stored : replaceSuffix(replaceSuffix(component, "Nanos", "Ns"), "Millis", "Ms");
    }

    private static String replaceSuffix(String name, String suffix, String stored) {
        return name.endsWith(suffix) ? name.substring(0, name.length() - suffix.length()) + stored : name;
    }

    /** The word under which an enum constant is stored, in upper case. */
    public static String word(Enum<?> constant) {
        return WORDS.getOrDefault(constant, constant.name());
    }

    /**
     * The enum constant that is stored under a word in upper case.
     *
     * @throws IllegalArgumentException if no constant of the type is stored under the word
     */
    public static <E extends Enum<E>> E constant(Class<E> type, String word) {
        for (E constant : type.getEnumConstants()) {
            if (word(constant).equals(word)) {
                return constant;
            }
        }
        throw new IllegalArgumentException("unknown word " + word + " for " + type.getSimpleName());
    }
}
