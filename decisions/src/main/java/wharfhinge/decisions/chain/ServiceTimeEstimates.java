package wharfhinge.decisions.chain;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;

/**
 * What answers took, by function, with and without a load. Two histograms take turns, so that what is older than two
 * turns is forgotten; quantiles are read anew every few samples, which keeps a look-up at a map access. Bounded: the
 * functions not heard of for longest are forgotten first.
 */
public final class ServiceTimeEstimates {
    private static final long UNIT = 100_000L; // 0.1 ms
    private static final long LONGEST = 60_000_000_000L / UNIT;
    private static final int TURN_SAMPLES = 64;
    private static final long TURN_NS = 20_000_000_000L;
    private static final int READ_EVERY = 4;
    private static final int ENOUGH = 3; // fewer samples tell less than what the call itself tells
    private static final double SMOOTH = 0.05;

    private static final class Series {
        private IntCountsHistogram recent = new IntCountsHistogram(LONGEST, 1);
        private IntCountsHistogram former = new IntCountsHistogram(LONGEST, 1);
        private long turnedAt;
        private int unread;
        private LatencyQuantiles read;

        void add(long now, long tookNanos) {
            if (recent.getTotalCount() >= TURN_SAMPLES || now - turnedAt > TURN_NS && recent.getTotalCount() > 0) {
                IntCountsHistogram oldest = former;
                former = recent;
                recent = oldest;
                recent.reset();
                turnedAt = now;
            }
            recent.recordValue(Math.max(1, Math.min(LONGEST, tookNanos / UNIT)));
            if (read == null || ++unread >= READ_EVERY) {
                unread = 0;
                read = read();
            }
        }

        private LatencyQuantiles read() {
            IntCountsHistogram both = new IntCountsHistogram(LONGEST, 1);
            both.add(recent);
            both.add(former);
            return both.getTotalCount() < ENOUGH
                    ? null
                    : new LatencyQuantiles(
                            both.getValueAtPercentile(10) * UNIT,
                            both.getValueAtPercentile(50) * UNIT,
                            both.getValueAtPercentile(90) * UNIT);
        }
    }

    private final Map<String, Series> warm;
    private final Map<String, Series> loaded;
    private final Series anyWarm = new Series();
    private final Series anyLoaded = new Series();
    private double loadsUnbelieved = 1;

    /** Remembers so many functions. */
    public ServiceTimeEstimates(int most) {
        warm = bounded(most);
        loaded = bounded(most);
    }

    private static Map<String, Series> bounded(int most) {
        return new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Series> eldest) {
                return size() > most;
            }
        };
    }

    /** An answer came; {@code believed} tells whether a copy was believed to stand when the call began. */
    public void learn(long now, String function, boolean didLoad, boolean believed, long tookNanos) {
        (didLoad ? loaded : warm).computeIfAbsent(function, f -> new Series()).add(now, tookNanos);
        (didLoad ? anyLoaded : anyWarm).add(now, tookNanos);
        if (!believed) {
            loadsUnbelieved += SMOOTH * ((didLoad ? 1 : 0) - loadsUnbelieved);
        }
    }

    /** A call where a copy stands: as learned for the function, else as its cost tells, else as for any function. */
    public LatencyQuantiles warm(String function, long costNanos, long untoldNanos) {
        Series own = warm.get(function);
        if (own != null && own.read != null) {
            return own.read;
        }
        if (costNanos > 0) {
            return new LatencyQuantiles(costNanos / 2, costNanos, 3 * costNanos);
        }
        return anyWarm.read != null
                ? anyWarm.read
                : new LatencyQuantiles(untoldNanos / 8, untoldNanos / 4, untoldNanos);
    }

    /** A call that loads: as learned, else a warm one and the told time of a load, else as for any function. */
    public LatencyQuantiles load(String function, long costNanos, long loadNanos, long untoldNanos) {
        Series own = loaded.get(function);
        if (own != null && own.read != null) {
            return own.read;
        }
        if (loadNanos > 0) {
            return warm(function, costNanos, untoldNanos)
                    .then(new LatencyQuantiles(loadNanos * 3 / 4, loadNanos, 2 * loadNanos));
        }
        return anyLoaded.read != null
                ? anyLoaded.read
                : warm(function, costNanos, untoldNanos)
                        .then(new LatencyQuantiles(0, untoldNanos / 8, untoldNanos)); // unknown: worth a try
    }

    /** A call that may load or not: where others keep functions warm, not believing in a copy does not mean a load. */
    public LatencyQuantiles unsure(String function, long costNanos, long loadNanos, long untoldNanos) {
        LatencyQuantiles stands = warm(function, costNanos, untoldNanos);
        LatencyQuantiles loads = load(function, costNanos, loadNanos, untoldNanos);
        double chance = loadsUnbelieved;
        return new LatencyQuantiles(
                chance > 0.9 ? loads.low() : stands.low(),
                chance > 0.5 ? loads.median() : stands.median(),
                Math.max(stands.high(), chance > 0.1 ? loads.high() : stands.high()));
    }
}
