package wharfhinge.lab;

import java.util.ArrayList;
import java.util.List;

/**
 * A fleet, its clients, and a time of too many calls.
 *
 * @param gateways     that share nothing; clients draw one for each try
 * @param workers      alike
 * @param cores        calls that a worker runs at full pace at a time; further ones wait
 * @param queue        calls that may wait at a worker; one more is answered full
 * @param room         copies that a worker's memory holds
 * @param loadsAtOnce  of one worker
 * @param loadsOnCall  a worker loads what it is called for; else it answers a miss, and orders load
 * @param lanes        calls that one copy runs at a time
 * @param callMs       work of a call
 * @param loadMs       fetch and start of a copy, all of it at the store
 * @param storeAtOnce  fetches that the store serves at a time; further ones wait
 * @param functions    how many; popularity falls off as 1/(rank+2)^zipf
 * @param aimMs        an answer within it is in time
 * @param patienceMs   a client waits so long in all
 * @param tries        of a client, within its patience
 * @param keepMs       told to gateways: for so long a copy that nobody calls is believed to stand
 * @param calm         part of the fleet's capacity that is offered before and after
 * @param peak         and in the storm
 * @param beforeS      seconds before the storm, the first ten of which warm up and count for nothing
 * @param stormS       its length
 * @param afterS       what is looked at after it
 * @param reports      workers tell their load with answers
 * @param troubles     what else goes wrong
 */
public record Storm(int gateways, int workers, int cores, int queue, int room, int loadsAtOnce, boolean loadsOnCall, int lanes, int callMs,
                    int loadMs, int storeAtOnce, int functions, double zipf, int aimMs, int patienceMs, int tries, int keepMs, double calm,
                    double peak, int beforeS, int stormS, int afterS, boolean reports, List<Trouble> troubles, long seed) {

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
    public record Trouble(Kind kind, double atS, double forS) { }

    /** Seconds that are not counted: copies and beliefs form. */
    public static final int WARM_UP_S = 10;

    /** Eight workers whose memory just holds the ninety functions. */
    public static Storm tight() {
        return new Storm(1, 8, 4, 32, 12, 2, false, 4, 80, 400, 8, 90, 1.0, 600, 1500, 3, 8000, 0.5, 1.5, 6, 10, 16, false, List.of(), 7);
    }

    /** The same with room for all functions everywhere. */
    public static Storm ample() {
        return tight().room(90);
    }

    /** Calls a second that the cores bear. */
    public double capacityPerS() {
        return workers * cores * 1000.0 / callMs;
    }

    /** With so much room. */
    public Storm room(int copies) {
        return new Storm(gateways, workers, cores, queue, copies, loadsAtOnce, loadsOnCall, lanes, callMs, loadMs, storeAtOnce, functions, zipf,
            aimMs, patienceMs, tries, keepMs, calm, peak, beforeS, stormS, afterS, reports, troubles, seed);
    }

    /** With so many gateways. */
    public Storm gateways(int count) {
        return new Storm(count, workers, cores, queue, room, loadsAtOnce, loadsOnCall, lanes, callMs, loadMs, storeAtOnce, functions, zipf,
            aimMs, patienceMs, tries, keepMs, calm, peak, beforeS, stormS, afterS, reports, troubles, seed);
    }

    /** With workers that load on call, or not. */
    public Storm loadsOnCall(boolean now) {
        return new Storm(gateways, workers, cores, queue, room, loadsAtOnce, now, lanes, callMs, loadMs, storeAtOnce, functions, zipf,
            aimMs, patienceMs, tries, keepMs, calm, peak, beforeS, stormS, afterS, reports, troubles, seed);
    }

    /** With so much offered before and after, and in the storm, in parts of the capacity. */
    public Storm load(double before, double during) {
        return new Storm(gateways, workers, cores, queue, room, loadsAtOnce, loadsOnCall, lanes, callMs, loadMs, storeAtOnce, functions, zipf,
            aimMs, patienceMs, tries, keepMs, before, during, beforeS, stormS, afterS, reports, troubles, seed);
    }

    /** A fleet of another size. */
    public Storm fleet(int count, int coresOfOne, int lanesOfCopy, int functionCount) {
        return new Storm(gateways, count, coresOfOne, queue, room, loadsAtOnce, loadsOnCall, lanesOfCopy, callMs, loadMs, storeAtOnce,
            functionCount, zipf, aimMs, patienceMs, tries, keepMs, calm, peak, beforeS, stormS, afterS, reports, troubles, seed);
    }

    /** With other times of loading. */
    public Storm loading(int ms, int storeServes) {
        return new Storm(gateways, workers, cores, queue, room, loadsAtOnce, loadsOnCall, lanes, callMs, ms, storeServes, functions, zipf,
            aimMs, patienceMs, tries, keepMs, calm, peak, beforeS, stormS, afterS, reports, troubles, seed);
    }

    /** With clients that try so often. */
    public Storm tries(int most) {
        return new Storm(gateways, workers, cores, queue, room, loadsAtOnce, loadsOnCall, lanes, callMs, loadMs, storeAtOnce, functions, zipf,
            aimMs, patienceMs, most, keepMs, calm, peak, beforeS, stormS, afterS, reports, troubles, seed);
    }

    /** With one more trouble. */
    public Storm with(Kind kind, double atS, double forS) {
        List<Trouble> more = new ArrayList<>(troubles);
        more.add(new Trouble(kind, atS, forS));
        return new Storm(gateways, workers, cores, queue, room, loadsAtOnce, loadsOnCall, lanes, callMs, loadMs, storeAtOnce, functions, zipf,
            aimMs, patienceMs, tries, keepMs, calm, peak, beforeS, stormS, afterS, reports, more, seed);
    }

    /** With other draws. */
    public Storm seed(long other) {
        return new Storm(gateways, workers, cores, queue, room, loadsAtOnce, loadsOnCall, lanes, callMs, loadMs, storeAtOnce, functions, zipf,
            aimMs, patienceMs, tries, keepMs, calm, peak, beforeS, stormS, afterS, reports, troubles, other);
    }

    /** Seconds that are counted. */
    public int seconds() {
        return beforeS + stormS + afterS;
    }
}
