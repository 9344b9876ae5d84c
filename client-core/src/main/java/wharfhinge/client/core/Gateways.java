package wharfhinge.client.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Which gateway gets a try: of two drawn at random the one with fewer own tries out; one that breaks or stays silent several times in
 * a row is left out for a while, then tried by one call. Where all are left out, all are drawn from: a client that believes the whole
 * world is down must not be the one that is. One thread.
 */
final class Gateways {
    private static final int MOST_PAUSES = 4; // doublings

    private static final class State {
        private final String name;
        private int out;
        private int inARow;
        private boolean ejected;
        private boolean onTrial;
        private long trialAt;
        private int pauses;

        State(String name) {
            this.name = name;
        }
    }

    private final ClientPolicy policy;
    private final RandomGenerator random;
    private final Map<String, State> states = new LinkedHashMap<>();
    private List<State> listed = List.of();

    Gateways(ClientPolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /** The list, whole; what is out at one that went away goes on. */
    void list(List<String> names) {
        List<State> now = new ArrayList<>();
        for (String name : new java.util.LinkedHashSet<>(names)) {
            now.add(states.computeIfAbsent(name, State::new));
        }
        listed = now;
        states.values().removeIf(s -> s.out == 0 && !now.contains(s));
    }

    /** One that is not among {@code tried} where there is another, or null where the list is empty. Trials are made by safe calls. */
    String choose(long now, Set<String> tried, boolean mayTry) {
        State due = null;
        List<State> fit = new ArrayList<>();
        for (State s : listed) {
            boolean fresh = !tried.contains(s.name);
            if (s.ejected && mayTry && fresh && !s.onTrial && now >= s.trialAt) {
                due = due == null ? s : due;
            } else if (!s.ejected && fresh) {
                fit.add(s);
            }
        }
        if (due != null) {
            due.onTrial = true;
            return sent(due);
        }
        if (fit.isEmpty()) {
            listed.stream().filter(s -> !s.ejected).forEach(fit::add);
        }
        if (fit.isEmpty()) {
            listed.stream().filter(s -> !tried.contains(s.name)).forEach(fit::add);
        }
        if (fit.isEmpty()) {
            fit.addAll(listed);
        }
        if (fit.isEmpty()) {
            return null;
        }
        State a = fit.get(random.nextInt(fit.size()));
        State b = fit.get(random.nextInt(fit.size()));
        return sent(b.out < a.out ? b : a);
    }

    private static String sent(State s) {
        s.out++;
        return s.name;
    }

    /** A try there ended. {@code sound}: the gateway itself answered, whatever it said; null where it tells nothing. */
    void ended(long now, String name, Boolean sound) {
        State s = states.get(name);
        if (s == null) {
            return;
        }
        s.out--;
        if (Boolean.TRUE.equals(sound)) {
            s.inARow = 0;
            s.ejected = false;
            s.onTrial = false;
            s.pauses = 0;
        } else if (Boolean.FALSE.equals(sound)) {
            s.inARow++;
            if (s.onTrial || !s.ejected && s.inARow >= policy.ejectAfter()) {
                s.ejected = true;
                s.onTrial = false;
                s.trialAt = now + (policy.ejectNanos() << s.pauses);
                s.pauses = Math.min(MOST_PAUSES, s.pauses + 1);
            }
        } else {
            s.onTrial = false;
        }
        if (s.out == 0 && !listed.contains(s)) {
            states.remove(name);
        }
    }

    /** Those left out now. */
    long ejected() {
        return listed.stream().filter(s -> s.ejected).count();
    }

    /** Tries out at one. */
    int out(String name) {
        State s = states.get(name);
        return s == null ? 0 : s.out;
    }
}
