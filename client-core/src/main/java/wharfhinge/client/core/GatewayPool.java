package wharfhinge.client.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the gateway of an attempt: the one of two random candidates that has fewer of this client's attempts in flight. A gateway
 * that repeatedly fails or does not answer is ejected for some time and then gets one trial call. If all gateways are ejected, all are
 * candidates, since a fault of the client or its network is then more likely than a failure of every gateway. Not thread-safe.
 */
final class GatewayPool {
    private static final int MAX_EJECTION_DOUBLINGS = 4;

    private static final class GatewayState {
        private final String name;
        private int inFlight;
        private int consecutiveFailures;
        private boolean ejected;
        private boolean onTrial;
        private long trialAt;
        private int ejectionDoublings;

        GatewayState(String name) {
            this.name = name;
        }
    }

    private final ClientPolicy policy;
    private final RandomGenerator random;
    private final Map<String, GatewayState> states = new LinkedHashMap<>();
    private List<GatewayState> listed = List.of();

    GatewayPool(ClientPolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /** Replaces the list; attempts in flight at a removed gateway continue. */
    void onGatewayList(List<String> names) {
        List<GatewayState> currentlyListed = new ArrayList<>();
        for (String name : new java.util.LinkedHashSet<>(names)) {
            currentlyListed.add(states.computeIfAbsent(name, GatewayState::new));
        }
        listed = currentlyListed;
        states.values().removeIf(gateway -> gateway.inFlight == 0 && !currentlyListed.contains(gateway));
    }

    /**
     * Chooses a gateway, preferably one that is not in {@code gatewaysTried}; returns null if the list is empty. Only idempotent
     * calls may be a trial ({@code trialAllowed}).
     */
    String choose(long now, Set<String> gatewaysTried, boolean trialAllowed) {
        GatewayState dueForTrial = null;
        List<GatewayState> candidates = new ArrayList<>();
        for (GatewayState gateway : listed) {
            boolean untried = !gatewaysTried.contains(gateway.name);
            if (gateway.ejected && trialAllowed && untried && !gateway.onTrial && now >= gateway.trialAt) {
                dueForTrial = dueForTrial == null ? gateway : dueForTrial;
            } else if (!gateway.ejected && untried) {
                candidates.add(gateway);
            }
        }
        if (dueForTrial != null) {
            dueForTrial.onTrial = true;
            return countSend(dueForTrial);
        }
        if (candidates.isEmpty()) {
            listed.stream().filter(gateway -> !gateway.ejected).forEach(candidates::add);
        }
        if (candidates.isEmpty()) {
            listed.stream()
                    .filter(gateway -> !gatewaysTried.contains(gateway.name))
                    .forEach(candidates::add);
        }
        if (candidates.isEmpty()) {
            candidates.addAll(listed);
        }
        if (candidates.isEmpty()) {
            return null;
        }
        GatewayState first = candidates.get(random.nextInt(candidates.size()));
        GatewayState second = candidates.get(random.nextInt(candidates.size()));
        return countSend(second.inFlight < first.inFlight ? second : first);
    }

    private static String countSend(GatewayState gateway) {
        gateway.inFlight++;
        return gateway.name;
    }

    /** Handles the end of an attempt; {@code healthy} is whether the gateway answered at all, or null if unknown. */
    void onAttemptEnded(long now, String name, Boolean healthy) {
        GatewayState gateway = states.get(name);
        if (gateway == null) {
            return;
        }
        gateway.inFlight--;
        if (Boolean.TRUE.equals(healthy)) {
            gateway.consecutiveFailures = 0;
            gateway.ejected = false;
            gateway.onTrial = false;
            gateway.ejectionDoublings = 0;
        } else if (Boolean.FALSE.equals(healthy)) {
            gateway.consecutiveFailures++;
            if (gateway.onTrial || !gateway.ejected && gateway.consecutiveFailures >= policy.ejectAfter()) {
                gateway.ejected = true;
                gateway.onTrial = false;
                gateway.trialAt = now + (policy.ejectNanos() << gateway.ejectionDoublings);
                gateway.ejectionDoublings = Math.min(MAX_EJECTION_DOUBLINGS, gateway.ejectionDoublings + 1);
            }
        } else {
            gateway.onTrial = false;
        }
        if (gateway.inFlight == 0 && !listed.contains(gateway)) {
            states.remove(name);
        }
    }

    /** The number of ejected gateways. */
    long ejectedCount() {
        return listed.stream().filter(gateway -> gateway.ejected).count();
    }

    /** The number of this client's attempts in flight at a gateway. */
    int inFlight(String name) {
        GatewayState gateway = states.get(name);
        return gateway == null ? 0 : gateway.inFlight;
    }
}
