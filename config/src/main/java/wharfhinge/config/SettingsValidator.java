package wharfhinge.config;

import java.net.URI;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import wharfhinge.config.PolicySettingsXml.CallClass;

/** Validates rules that the schema cannot express: constraints between fields. Reports each fault at its element. */
final class SettingsValidator {
    private static final double SHARE_TOLERANCE = 0.001;
    private static final double GOAL_TOLERANCE = 1e-6;
    private static final int MAX_PORT = 65_535;
    private static final int MIN_TICKS_PER_DEADLINE = 4;

    private final SettingsXml settings;
    private final XmlFile.FaultListener faults;

    private SettingsValidator(SettingsXml settings, XmlFile.FaultListener faults) {
        this.settings = settings;
        this.faults = faults;
    }

    static void validate(SettingsXml settings, XmlFile.FaultListener faults) {
        new SettingsValidator(settings, faults).validate();
    }

    /** The order decides which of several faults at one place is reported first. */
    private void validate() {
        settings.classes.classes.forEach(this::validateClass);
        validateUnique(settings.classes.classes, callClass -> callClass.name, "class");
        validateUnique(settings.workers.kinds, kind -> kind.name, "kind");
        validateUnique(settings.tenants.tenants, tenant -> tenant.name, "tenant");
        if (settings.admission != null) {
            validateUnique(settings.admission.tenants, tenant -> tenant.name, "tenant");
        }
        validateUnique(settings.chains.chains, chain -> chain.name, "chain");
        ChainValidator.validate(settings, faults);
        validateUnique(settings.peers.peers, peer -> String.valueOf(peer.number), "peer");
        validateSums();
        validateGateway();
        validateLoading();
        validateRetryAfter();
        validateEndpointSource();
    }

    private void validateClass(CallClass callClass) {
        if (callClass.latencyObjectiveMillis > callClass.maxDeadlineMillis) {
            reportClass(
                    callClass,
                    "aim-ms " + callClass.latencyObjectiveMillis,
                    "at most give-up-ms, " + callClass.maxDeadlineMillis);
        }
        long connectTimeoutMillis = settings.workers.connectTimeoutMillis;
        if (connectTimeoutMillis >= callClass.latencyObjectiveMillis) {
            report(
                    settings.workers,
                    "dial-timeout-ms " + connectTimeoutMillis,
                    "less than the aim of class " + callClass.name + ", " + callClass.latencyObjectiveMillis);
        }
        boolean isDeduplicated = callClass.effect.equals("deduplicated");
        boolean hasWindow = callClass.deduplicationWindowMillis != 0;
        if (isDeduplicated != hasWindow) {
            reportClass(
                    callClass,
                    "effect " + callClass.effect + " and window-ms " + callClass.deduplicationWindowMillis,
                    "a window with deduplicated, and only there");
        }
        if (callClass.maxDeadlineMillis <= MIN_TICKS_PER_DEADLINE * settings.gateway.tickMillis) {
            reportClass(
                    callClass,
                    "give-up-ms " + callClass.maxDeadlineMillis,
                    "over four times tick-ms, " + settings.gateway.tickMillis);
        }
    }

    private void validateSums() {
        List<PolicySettingsXml.Tenant> tenants = settings.tenants.tenants;
        double shares = tenants.stream().mapToDouble(tenant -> tenant.share).sum();
        if (!tenants.isEmpty() && Math.abs(shares - 1) > SHARE_TOLERANCE) {
            report(settings.tenants, "shares that add up to " + shares, "1");
        }
        PolicySettingsXml.Goal goal = settings.goal;
        double weights = goal.overall + goal.worstWindow + goal.worstClass + goal.worstTenant;
        if (Math.abs(weights - 1) > GOAL_TOLERANCE) {
            report(goal, "goal shares that add up to " + weights, "1");
        }
    }

    private void validateGateway() {
        SettingsXml.Gateway gateway = settings.gateway;
        if (!settings.zones.names.contains(gateway.zone)) {
            report(gateway, "zone " + gateway.zone, "one of " + settings.zones.names);
        }
        if (gateway.number >= gateway.groupSize) {
            report(gateway, "number " + gateway.number, "0 to " + (gateway.groupSize - 1));
        }
    }

    private void validateLoading() {
        WorkerSettingsXml.Loading loading = settings.workers.loading;
        if (loading.onMiss.equals("miss") && !loading.loadOrdersAllowed) {
            report(
                    loading,
                    "not-loaded miss without orders",
                    "miss with orders only, for nothing else would ever load");
        }
    }

    private void validateRetryAfter() {
        long maxDeadlineMillis = settings.classes.classes.stream()
                .mapToLong(callClass -> callClass.maxDeadlineMillis)
                .max()
                .orElse(0);
        if (settings.clients.maxRetryAfterMillis > maxDeadlineMillis) {
            report(
                    settings.clients,
                    "max-retry-after-ms " + settings.clients.maxRetryAfterMillis,
                    "at most the longest give-up-ms");
        }
    }

    private void validateEndpointSource() {
        SettingsXml.EndpointSource source = settings.endpointSource;
        if (source.minReconnectMillis > source.maxReconnectMillis) {
            report(
                    source,
                    "reconnect-least-ms " + source.minReconnectMillis,
                    "at most reconnect-most-ms, " + source.maxReconnectMillis);
        }
        int port = URI.create(source.url).getPort();
        if (port < 1 || port > MAX_PORT) {
            report(source, "url " + source.url, "a port from 1 to " + MAX_PORT);
        }
    }

    private <T> void validateUnique(List<T> elements, Function<T, String> name, String elementName) {
        Set<String> seen = new HashSet<>();
        for (T element : elements) {
            if (!seen.add(name.apply(element))) {
                report(element, elementName + " " + name.apply(element) + " twice", "once");
            }
        }
    }

    private void reportClass(CallClass callClass, String found, String allowed) {
        faults.accept(callClass, "class " + callClass.name + ": found " + found + ", allowed: " + allowed);
    }

    private void report(Object element, String found, String allowed) {
        faults.accept(element, "found " + found + ", allowed: " + allowed);
    }
}
