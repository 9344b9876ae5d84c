package wharfhinge.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Parameters of a simulated overload (storm): a fleet, its clients, and a phase in which more calls arrive than the fleet can serve.
 * Immutable; each modifier returns a changed copy.
 */
public final class Storm implements Cloneable {

    /** A disturbance in addition to the overload. */
    public enum Kind {
        /** The popularity ranks of the functions are shifted by half the number of functions. */
        TURNOVER,
        /** One worker restarts without copies and with a slow start. */
        WORKER_RESTARTS,
        /** Fetches from the store take ten times as long for the given duration. */
        STORE_SLOW,
        /** All gateways restart without any state. */
        GATEWAYS_RESTART
    }

    /** A disturbance at a time in seconds from the start of the measured time; {@code forS} is its duration if its kind has one. */
    public record Disturbance(Kind kind, double atS, double forS) {}

    /** Seconds before the measured time, in which copies are loaded and dispatchers learn about the workers. */
    public static final int WARM_UP_S = 10;
    /** Length of the sliding window of the load quota, in seconds. */
    public static final int RATION_S = 5;
    /** Load orders that the quota allows in addition for each call in the window. */
    public static final double RATION_RATIO = 0.1;

    private static final double LARGE_MEMORY_FRACTION = 0.6; // two large copies don't fit on one worker
    private static final int TENANT_FUNCTION_INTERVAL =
            10; // one function in this many belongs to the overloading tenant

    private int gateways = 1;
    private int workers = 8;
    private int cores = 4;
    private int queue = 32;
    private int room = 12;
    private int loadConcurrency = 2;
    private boolean loadsOnCall;
    private int lanes = 4;
    private int callMillis = 80;
    private int loadMillis = 400;
    private int storeConcurrency = 8;
    private int functions = 90;
    private double zipf = 1;
    private int latencyObjectiveMillis = 600;
    private int clientTimeoutMillis = 1500;
    private int tries = 3;
    private int idleRetentionMillis = 8000;
    private double baseLoad = 0.5;
    private double peakLoad = 1.5;
    private int beforeS = 6;
    private int stormS = 10;
    private int afterS = 16;
    private int ration;
    private int large;
    private boolean oneTenant;
    private double chains;
    private List<Disturbance> disturbances = List.of();
    private long seed = 7;

    private Storm() {}

    /** Eight workers whose memory is just enough for one copy of each of the ninety functions. */
    public static Storm minimalMemory() {
        return new Storm();
    }

    /** The same fleet with memory for all functions on each worker. */
    public static Storm abundantMemory() {
        return minimalMemory().room(90);
    }

    private Storm copyWith(Consumer<Storm> modifier) {
        try {
            Storm copy = (Storm) clone();
            modifier.accept(copy);
            return copy;
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sets the memory of a worker, in copies of usual size. */
    public Storm room(int copies) {
        return copyWith(s -> s.room = copies);
    }

    /** Sets the number of gateways. */
    public Storm gateways(int count) {
        return copyWith(s -> s.gateways = count);
    }

    /** Sets whether workers load on demand. */
    public Storm loadsOnCall(boolean enabled) {
        return copyWith(s -> s.loadsOnCall = enabled);
    }

    /** Sets the offered load before and after the storm, and during the storm, as fractions of the capacity. */
    public Storm load(double before, double during) {
        return copyWith(s -> {
            s.baseLoad = before;
            s.peakLoad = during;
        });
    }

    /** Sets the size of the fleet: workers, cores of a worker, slots of a copy and functions. */
    public Storm fleet(int count, int coresPerWorker, int lanesPerCopy, int functionCount) {
        return copyWith(s -> {
            s.workers = count;
            s.cores = coresPerWorker;
            s.lanes = lanesPerCopy;
            s.functions = functionCount;
        });
    }

    /** Sets the duration of a load and the number of concurrent fetches of the store. */
    public Storm loading(int millis, int storeFetches) {
        return copyWith(s -> {
            s.loadMillis = millis;
            s.storeConcurrency = storeFetches;
        });
    }

    /** Sets the seconds of measured time before, during and after the storm. */
    public Storm phases(int before, int storm, int after) {
        return copyWith(s -> {
            s.beforeS = before;
            s.stormS = storm;
            s.afterS = after;
        });
    }

    /** Sets the maximum number of attempts of a client. */
    public Storm tries(int maxTries) {
        return copyWith(s -> s.tries = maxTries);
    }

    /** Sets the load quota: load orders of a gateway in {@value #RATION_S} s, plus one for ten of its calls in them; 0 means no quota. */
    public Storm ration(int orders) {
        return copyWith(s -> s.ration = orders);
    }

    /** Sets how many functions, the most popular ones, need more than half of a worker's memory for a copy. */
    public Storm large(int count) {
        return copyWith(s -> s.large = count);
    }

    /** Directs the load that the storm adds to the functions of one tenant, one function in ten. */
    public Storm ofOneTenant() {
        return copyWith(s -> s.oneTenant = true);
    }

    /** Sets the fraction of client requests that are chains of two steps; their latency objective and timeout are twice those of a call. */
    public Storm chains(double fraction) {
        return copyWith(s -> s.chains = fraction);
    }

    /** Adds a disturbance. */
    public Storm with(Kind kind, double atS, double forS) {
        List<Disturbance> extended = new ArrayList<>(disturbances);
        extended.add(new Disturbance(kind, atS, forS));
        return copyWith(s -> s.disturbances = List.copyOf(extended));
    }

    /** Sets the seed of the random numbers. */
    public Storm seed(long newSeed) {
        return copyWith(s -> s.seed = newSeed);
    }

    /** Calls per second that the cores of all workers can run. */
    public double capacityPerS() {
        return workers * cores * 1000.0 / callMillis;
    }

    /** Length of the measured time. */
    public int seconds() {
        return beforeS + stormS + afterS;
    }

    /** Memory units that a copy of the function needs; a copy of usual size needs one. */
    int memoryUnits(int function) {
        return function < large ? (int) Math.ceil(LARGE_MEMORY_FRACTION * room) : 1;
    }

    int memoryUnits(String function) {
        return memoryUnits(Integer.parseInt(function.substring(1)));
    }

    /** Selects a function of the overloading tenant by a random number from 0 (inclusive) to 1 (exclusive). */
    int tenantFunction(double random) {
        return (int) (random * Math.max(1, functions / TENANT_FUNCTION_INTERVAL)) * TENANT_FUNCTION_INTERVAL;
    }

    int gateways() {
        return gateways;
    }

    int workers() {
        return workers;
    }

    /** Calls that a worker runs at a time; further ones wait. */
    int cores() {
        return cores;
    }

    /** Maximum length of the queue of a worker; further calls are rejected as saturated. */
    int queue() {
        return queue;
    }

    /** Memory of a worker in units; a copy of usual size needs one. */
    int room() {
        return room;
    }

    /** Concurrent loads of one worker. */
    int loadConcurrency() {
        return loadConcurrency;
    }

    /** Whether workers load on demand; otherwise a call without a copy is a miss, and functions are loaded by load orders only. */
    boolean loadsOnCall() {
        return loadsOnCall;
    }

    /** Slots of a copy: the calls that it runs at a time. */
    int lanes() {
        return lanes;
    }

    /** Duration of a call on a worker after its slow start. */
    int callMillis() {
        return callMillis;
    }

    /** Duration of a load, during which it occupies one of the concurrent fetches of the store. */
    int loadMillis() {
        return loadMillis;
    }

    /** Concurrent fetches of the store; further ones wait. */
    int storeConcurrency() {
        return storeConcurrency;
    }

    int functions() {
        return functions;
    }

    /** Exponent of the popularity 1/(rank+2)^zipf. */
    double zipf() {
        return zipf;
    }

    /** Latency objective of a call. */
    int latencyObjectiveMillis() {
        return latencyObjectiveMillis;
    }

    /** Total time that a client waits for a call, retries included. */
    int clientTimeoutMillis() {
        return clientTimeoutMillis;
    }

    /** Maximum number of attempts of a client within its timeout. */
    int tries() {
        return tries;
    }

    /** Time after which idle copies are unloaded; gateways know it and assume idle copies loaded for that long. */
    int idleRetentionMillis() {
        return idleRetentionMillis;
    }

    /** Offered load before and after the storm, as a fraction of the capacity. */
    double baseLoad() {
        return baseLoad;
    }

    /** Offered load during the storm, as a fraction of the capacity. */
    double peakLoad() {
        return peakLoad;
    }

    /** Seconds of measured time before the storm; the warm-up precedes them. */
    int beforeS() {
        return beforeS;
    }

    int stormS() {
        return stormS;
    }

    int afterS() {
        return afterS;
    }

    int ration() {
        return ration;
    }

    boolean oneTenant() {
        return oneTenant;
    }

    double chains() {
        return chains;
    }

    /** Mean number of calls per client request. */
    double callsPerRequest() {
        return 1 + chains;
    }

    List<Disturbance> disturbances() {
        return disturbances;
    }

    /** Seed of the random numbers. */
    public long seed() {
        return seed;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%d gateways, %d workers of %d cores with room for %d%s, %d functions (%d large), load of %d ms (%d at "
                        + "once, ration %d), %.1f and %.1f of the capacity, seed %d",
                gateways,
                workers,
                cores,
                room,
                loadsOnCall ? " that load on call" : "",
                functions,
                large,
                loadMillis,
                storeConcurrency,
                ration,
                baseLoad,
                peakLoad,
                seed);
    }
}
