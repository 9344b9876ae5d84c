package wharfhinge.standin;

import jakarta.xml.bind.annotation.XmlAccessType;
import jakarta.xml.bind.annotation.XmlAccessorType;
import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import jakarta.xml.bind.annotation.XmlRootElement;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.standin.judge.TraceVerifier;

/** A fault injection test: the workers, the traffic, the parameters of the rules and the faults. Units and ranges are in scenario.xsd. */
@XmlRootElement(name = "scenario")
@XmlAccessorType(XmlAccessType.FIELD)
public final class Scenario {
    /** The default connect timeout of a gateway. */
    private static final long CONNECT_TIMEOUT_MS = 250;

    @XmlAttribute(name = "name")
    private String name;

    @XmlAttribute(name = "seconds")
    private double seconds;

    @XmlAttribute(name = "seed")
    private long seed = 1;

    @XmlAttribute(name = "gateways")
    private int gateways = 3;

    @XmlAttribute(name = "second-copies")
    private boolean concurrentAttempts;

    @XmlElement(name = "workers")
    private Workers workers;

    @XmlElement(name = "rules")
    private RuleParameters rules;

    @XmlElement(name = "store")
    private Store store;

    @XmlElement(name = "roster")
    private Roster roster;

    @XmlElement(name = "traffic")
    private Traffic traffic;

    @XmlElement(name = "trouble")
    private final List<InjectedFault> troubles = new ArrayList<>();

    /** The workers. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Workers {
        @XmlAttribute(name = "count")
        private int count;

        @XmlAttribute(name = "cores")
        private int cores = 2;

        @XmlAttribute(name = "speed-least")
        private double speedLeast = 1;

        @XmlAttribute(name = "speed-most")
        private double speedMost = 1;

        @XmlAttribute(name = "memory-mb")
        private double memoryMb;

        @XmlAttribute(name = "queue")
        private int queue = 16;

        @XmlAttribute(name = "loads-at-once")
        private int loadsAtOnce = 4;

        @XmlAttribute(name = "keep-ms")
        private long keepMillis;

        @XmlAttribute(name = "not-loaded")
        private String notLoaded;

        @XmlAttribute(name = "report-ms")
        private long reportMillis = 200;

        @XmlAttribute(name = "reports")
        private String reports = "piggyback";

        @XmlAttribute(name = "real")
        private boolean real;

        /** Whether processes of the real worker run instead of emulators. */
        public boolean real() {
            return real;
        }

        /** Calls that may wait for a slot on a worker. */
        public int queue() {
            return queue;
        }

        /** Loads that a worker runs concurrently. */
        public int loadsAtOnce() {
            return loadsAtOnce;
        }

        /** The interval at which load reports are refreshed. */
        public long reportMillis() {
            return reportMillis;
        }

        /** The number of workers. */
        public int count() {
            return count;
        }

        /** What a worker does with a call for a function that is not loaded: {@code load} or {@code miss}. */
        public String notLoaded() {
            return notLoaded;
        }

        /** Calls that a worker runs concurrently at full speed. */
        public int cores() {
            return cores;
        }

        /** The time for which an idle copy stays loaded at least. */
        public long keepMillis() {
            return keepMillis;
        }

        /** Memory of each worker in MB. */
        public double memoryMb() {
            return memoryMb;
        }

        /** How load is reported: {@code piggyback}, {@code pull} or {@code silent}. */
        public String reports() {
            return reports;
        }
    }

    /** Parameters of the rules. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class RuleParameters {
        @XmlAttribute(name = "grace-ms")
        private long graceMillis = 16;

        @XmlAttribute(name = "stop-sending-ms")
        private long stopSendingMillis;

        @XmlAttribute(name = "cold-from")
        private double slowStartInitialShare;

        @XmlAttribute(name = "cold-ms")
        private long slowStartMillis;

        @XmlAttribute(name = "overload-factor")
        private double overloadFactor;

        @XmlAttribute(name = "tip-ms")
        private long overloadWindowMillis;

        @XmlAttribute(name = "ration-ms")
        private long quotaWindowMillis;

        @XmlAttribute(name = "ration-anyway")
        private double quotaBase;

        @XmlAttribute(name = "ration-ratio")
        private double quotaPerCall;
    }

    /** The package store. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Store {
        @XmlAttribute(name = "full-pace")
        private int fullPace;

        @XmlAttribute(name = "most")
        private int most;

        /** Concurrent fetches that are served at full speed. */
        public int fullSpeedFetches() {
            return fullPace;
        }

        /** Concurrent fetches above which further ones are rejected. */
        public int maxFetches() {
            return most;
        }
    }

    /** The endpoint service. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Roster {
        @XmlAttribute(name = "lag-ms")
        private long lagMillis;

        /** The delay with which it publishes changes. */
        public long lagMillis() {
            return lagMillis;
        }
    }

    /** The offered traffic. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Traffic {
        @XmlAttribute(name = "per-s")
        private double callsPerSecond;

        @XmlAttribute(name = "functions")
        private int functions;

        @XmlAttribute(name = "zipf")
        private double zipf = 1;

        @XmlAttribute(name = "retries")
        private int retries;

        @XmlAttribute(name = "chain-share")
        private double chainShare;

        @XmlAttribute(name = "chain-aim-ms")
        private long chainDeadlineMillis = 600;

        @XmlElement(name = "class")
        private final List<CallClass> classes = new ArrayList<>();
    }

    /** A class of calls. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class CallClass {
        @XmlAttribute(name = "name")
        private String name;

        @XmlAttribute(name = "effect")
        private String effect;

        @XmlAttribute(name = "share")
        private double share;

        @XmlAttribute(name = "aim-ms")
        private long objectiveMillis;

        @XmlAttribute(name = "give-up-ms")
        private long deadlineMillis;

        @XmlAttribute(name = "work-ms")
        private double workMillis;

        @XmlAttribute(name = "load-ms")
        private double loadMillis;

        @XmlAttribute(name = "memory-mb")
        private double memoryMb;

        @XmlAttribute(name = "lanes")
        private int lanes = 1;
    }

    /** A fault that is injected during the test. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class InjectedFault {
        @XmlAttribute(name = "name")
        private String name;

        @XmlAttribute(name = "at")
        private double at;

        @XmlAttribute(name = "for")
        private double length;

        @XmlAttribute(name = "part")
        private double part;

        @XmlAttribute(name = "size")
        private double size;

        @XmlAttribute(name = "extra")
        private double extra;

        /** A fault that begins {@code at} seconds after the start of the test. */
        public InjectedFault(String name, double at, double length, double part, double size, double extra) {
            this.name = name;
            this.at = at;
            this.length = length;
            this.part = part;
            this.size = size;
            this.extra = extra;
        }

        /** For JAXB. */
        InjectedFault() {}

        /** The name of the fault. */
        public String name() {
            return name;
        }

        /** Seconds from the start of the test to the beginning of the fault. */
        public double at() {
            return at;
        }

        /** Duration in seconds. */
        public double length() {
            return length;
        }

        /** The share of workers, gateways or calls that it affects. */
        public double part() {
            return part;
        }

        /** Severity; the unit depends on the fault. */
        public double size() {
            return size;
        }

        /** A second parameter of faults that need one. */
        public double extra() {
            return extra;
        }
    }

    /** The name of the scenario. */
    public String name() {
        return name;
    }

    /** The time for which calls are offered. */
    public double seconds() {
        return seconds;
    }

    /** Sets the time for which calls are offered. */
    public void seconds(double duration) {
        seconds = duration;
    }

    /** Multiplies the call rate by a factor. */
    public void load(double factor) {
        traffic.callsPerSecond *= factor;
    }

    /** Sets the memory of each worker in MB. */
    public void memoryMb(double megabytes) {
        workers.memoryMb = megabytes;
    }

    /** Sets the number of gateways. */
    public void gateways(int count) {
        gateways = count;
    }

    /** Sets whether a worker loads a function on call or answers with a miss. */
    public void loadsOnCall(boolean onCall) {
        workers.notLoaded = onCall ? "load" : "miss";
    }

    /** Uses real workers; multiplies the memory of workers and of functions by {@code memoryFactor}. */
    public void real(double memoryFactor) {
        workers.real = true;
        workers.memoryMb *= memoryFactor;
        traffic.classes.forEach(c -> c.memoryMb = Math.max(1, Math.rint(c.memoryMb * memoryFactor)));
    }

    /** Sets the number of workers. */
    public void workers(int count) {
        workers.count = count;
    }

    /** Sets the share of calls that are chains. */
    public void chainShare(double share) {
        traffic.chainShare = share;
    }

    /** Seed of all random choices. */
    public long seed() {
        return seed;
    }

    /** The number of gateways. */
    public int gateways() {
        return gateways;
    }

    /** Whether a call may have two attempts in flight at once, as hedged requests do. */
    public boolean concurrentAttempts() {
        return concurrentAttempts;
    }

    /** The workers. */
    public Workers workers() {
        return workers;
    }

    /** The package store. */
    public Store store() {
        return store;
    }

    /** The endpoint service. */
    public Roster roster() {
        return roster;
    }

    /** The faults; the list may be modified. */
    public List<InjectedFault> troubles() {
        return troubles;
    }

    /** Properties of worker number {@code workerIndex}; {@code cold} if it begins in slow start. */
    public WorkerModel.Spec worker(int workerIndex, boolean cold) {
        double relativeRank = workers.count < 2 ? 0 : (workerIndex * 7 % workers.count) / (double) (workers.count - 1);
        double speed = workers.speedLeast + relativeRank * (workers.speedMost - workers.speedLeast);
        return new WorkerModel.Spec(
                workerIndex % 2 == 0 ? "zone-a" : "zone-b",
                "std",
                workerIndex / 4,
                workers.cores,
                speed,
                workers.memoryMb,
                workers.queue,
                workers.loadsAtOnce,
                workers.keepMillis,
                workers.notLoaded.equals("load"),
                rules.slowStartInitialShare,
                rules.slowStartMillis,
                rules.overloadFactor,
                rules.overloadWindowMillis,
                workers.reportMillis,
                cold,
                (long) traffic.classes.stream()
                        .mapToDouble(c -> c.share * c.workMillis * 1000)
                        .sum(),
                seed * 1000 + workerIndex);
    }

    /** The offered traffic. */
    public LoadClients.Traffic offeredTraffic() {
        return new LoadClients.Traffic(
                traffic.callsPerSecond,
                traffic.functions,
                traffic.zipf,
                traffic.retries,
                traffic.classes.stream()
                        .map(c -> new LoadClients.CallClass(
                                c.name,
                                c.effect,
                                c.share,
                                c.objectiveMillis,
                                c.deadlineMillis,
                                c.workMillis,
                                c.loadMillis,
                                c.memoryMb,
                                c.lanes))
                        .toList(),
                traffic.chainShare,
                traffic.chainDeadlineMillis);
    }

    /** Parameters of the rules for the trace verifier. */
    public TraceVerifier.Rules verifierRules() {
        Map<String, String> effects = new LinkedHashMap<>();
        Map<String, Long> objectiveMillis = new LinkedHashMap<>();
        Map<String, Double> meanWorkMillis = new LinkedHashMap<>();
        traffic.classes.forEach(c -> {
            effects.put(c.name, c.effect);
            objectiveMillis.put(c.name, c.objectiveMillis);
            meanWorkMillis.put(c.name, c.workMillis);
        });
        return new TraceVerifier.Rules(
                rules.graceMillis,
                rules.stopSendingMillis,
                rules.slowStartInitialShare,
                rules.slowStartMillis,
                rules.overloadFactor,
                rules.overloadWindowMillis,
                rules.quotaWindowMillis,
                rules.quotaBase,
                rules.quotaPerCall,
                CONNECT_TIMEOUT_MS,
                concurrentAttempts,
                effects,
                objectiveMillis,
                meanWorkMillis);
    }
}
