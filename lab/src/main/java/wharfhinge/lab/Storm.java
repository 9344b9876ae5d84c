package wharfhinge.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** A fleet, its clients, and a time of too many calls. Never changes once made; each way to change it gives another. */
public final class Storm implements Cloneable {

    /** What goes wrong beside the storm. */
    public enum Kind {
        /** Popularity turns over: the last function becomes the first. */
        TURNOVER,
        /** A worker comes back empty and cold. */
        WORKER_RESTARTS,
        /** The store takes ten times as long, for so long. */
        STORE_SLOW,
        /** All gateways start anew and know nothing. */
        GATEWAYS_RESTART
    }

    /** One trouble; seconds from the first counted call, and its length where it has one. */
    public record Trouble(Kind kind, double atS, double forS) {}

    /** Seconds that are not counted: copies and beliefs form. */
    public static final int WARM_UP_S = 10;
    /** A ration of load orders counts over such a span. */
    public static final int RATION_S = 5;
    /** What a ration allows beside for each call of the span. */
    public static final double RATION_RATIO = 0.1;

    private static final double LARGE = 0.6; // of a worker's memory: two don't stand beside each other
    private static final int TENANT_PART = 10; // one function of so many is the storming tenant's

    private int gateways = 1;
    private int workers = 8;
    private int cores = 4;
    private int queue = 32;
    private int room = 12;
    private int loadsAtOnce = 2;
    private boolean loadsOnCall;
    private int lanes = 4;
    private int callMillis = 80;
    private int loadMillis = 400;
    private int storeAtOnce = 8;
    private int functions = 90;
    private double zipf = 1;
    private int aimMillis = 600;
    private int patienceMillis = 1500;
    private int tries = 3;
    private int keepMillis = 8000;
    private double calm = 0.5;
    private double peak = 1.5;
    private int beforeS = 6;
    private int stormS = 10;
    private int afterS = 16;
    private int ration;
    private int large;
    private boolean oneTenant;
    private double chains;
    private List<Trouble> troubles = List.of();
    private long seed = 7;

    private Storm() {}

    /** Eight workers whose memory just holds the ninety functions. */
    public static Storm tight() {
        return new Storm();
    }

    /** The same with room for all functions everywhere. */
    public static Storm ample() {
        return tight().room(90);
    }

    private Storm but(Consumer<Storm> change) {
        try {
            Storm other = (Storm) clone();
            change.accept(other);
            return other;
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** With so much room. */
    public Storm room(int copies) {
        return but(s -> s.room = copies);
    }

    /** With so many gateways. */
    public Storm gateways(int count) {
        return but(s -> s.gateways = count);
    }

    /** With workers that load on call, or not. */
    public Storm loadsOnCall(boolean now) {
        return but(s -> s.loadsOnCall = now);
    }

    /** With so much offered before and after, and in the storm, in parts of the capacity. */
    public Storm load(double before, double during) {
        return but(s -> {
            s.calm = before;
            s.peak = during;
        });
    }

    /** A fleet of another size. */
    public Storm fleet(int count, int coresOfOne, int lanesOfCopy, int functionCount) {
        return but(s -> {
            s.workers = count;
            s.cores = coresOfOne;
            s.lanes = lanesOfCopy;
            s.functions = functionCount;
        });
    }

    /** With other times of loading. */
    public Storm loading(int ms, int storeServes) {
        return but(s -> {
            s.loadMillis = ms;
            s.storeAtOnce = storeServes;
        });
    }

    /** Looked at for so long before the storm, in it and after it. */
    public Storm lasting(int before, int storm, int after) {
        return but(s -> {
            s.beforeS = before;
            s.stormS = storm;
            s.afterS = after;
        });
    }

    /** With clients that try so often. */
    public Storm tries(int most) {
        return but(s -> s.tries = most);
    }

    /** With so many load orders a gateway in five seconds, and one more for ten of its calls in them; 0: as many as it likes. */
    public Storm ration(int orders) {
        return but(s -> s.ration = orders);
    }

    /** With so many functions, the most popular ones, that take more than half of a worker's memory each. */
    public Storm large(int count) {
        return but(s -> s.large = count);
    }

    /** What is offered beyond calm in the storm is all for one function in ten, those of one tenant. */
    public Storm ofOneTenant() {
        return but(s -> s.oneTenant = true);
    }

    /** With this part of what clients ask for chains of two steps, whose aim and patience are twice those of a call. */
    public Storm chains(double part) {
        return but(s -> s.chains = part);
    }

    /** With one more trouble. */
    public Storm with(Kind kind, double atS, double forS) {
        List<Trouble> more = new ArrayList<>(troubles);
        more.add(new Trouble(kind, atS, forS));
        return but(s -> s.troubles = List.copyOf(more));
    }

    /** With other draws. */
    public Storm seed(long other) {
        return but(s -> s.seed = other);
    }

    /** Calls a second that the cores bear. */
    public double capacityPerS() {
        return workers * cores * 1000.0 / callMillis;
    }

    /** Seconds that are counted. */
    public int seconds() {
        return beforeS + stormS + afterS;
    }

    /** What a copy of it takes of a worker's room. */
    int places(int function) {
        return function < large ? (int) Math.ceil(LARGE * room) : 1;
    }

    int places(String function) {
        return places(Integer.parseInt(function.substring(1)));
    }

    /** The storming tenant's function that a draw below 1 stands for. */
    int tenants(double drawn) {
        return (int) (drawn * Math.max(1, functions / TENANT_PART)) * TENANT_PART;
    }

    int gateways() {
        return gateways;
    }

    int workers() {
        return workers;
    }

    /** Calls that a worker runs at full pace at a time; further ones wait. */
    int cores() {
        return cores;
    }

    /** Calls that may wait at a worker; one more is answered full. */
    int queue() {
        return queue;
    }

    /** Usual copies that a worker's memory holds. */
    int room() {
        return room;
    }

    /** Of one worker. */
    int loadsAtOnce() {
        return loadsAtOnce;
    }

    /** A worker loads what it is called for; else it answers a miss, and orders load. */
    boolean loadsOnCall() {
        return loadsOnCall;
    }

    /** Calls that one copy runs at a time. */
    int lanes() {
        return lanes;
    }

    /** Work of a call. */
    int callMillis() {
        return callMillis;
    }

    /** Fetch and start of a copy, all of it at the store. */
    int loadMillis() {
        return loadMillis;
    }

    /** Fetches that the store serves at a time; further ones wait. */
    int storeAtOnce() {
        return storeAtOnce;
    }

    int functions() {
        return functions;
    }

    /** Popularity falls off as 1/(rank+2) to this power. */
    double zipf() {
        return zipf;
    }

    /** An answer within it is in time. */
    int aimMillis() {
        return aimMillis;
    }

    /** A client waits so long in all. */
    int patienceMillis() {
        return patienceMillis;
    }

    /** Of a client, within its patience. */
    int tries() {
        return tries;
    }

    /** Told to gateways: for so long a copy that nobody calls is believed to stand. */
    int keepMillis() {
        return keepMillis;
    }

    /** Part of the fleet's capacity that is offered before and after. */
    double calm() {
        return calm;
    }

    /** And in the storm. */
    double peak() {
        return peak;
    }

    /** Seconds before the storm; those of the warm-up come before them. */
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

    /** Calls of workers for one thing that a client asks for. */
    double callsEach() {
        return 1 + chains;
    }

    List<Trouble> troubles() {
        return troubles;
    }

    /** Of all draws. */
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
                storeAtOnce,
                ration,
                calm,
                peak,
                seed);
    }
}
