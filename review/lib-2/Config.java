import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** The configuration of a dispatcher of a small deployment. The fields may be changed before {@link #json}. */
final class Config {
    String name = "n1";
    String feed;
    String known;
    int port = freePort();
    int groupSize = 1;
    int number;
    int sockets = 256;
    long drainGraceMillis = 500;
    boolean loadControl = true;
    String notLoaded = "load";
    long loadPeriodMillis;
    double loadRatio;
    double loadsAnyway;
    long dialTimeoutMillis = 250;
    String effect = "idempotent";
    String group = "all";
    long windowMillis = 5000;
    long deadlineMillis = 2500;

    /** A free port outside of the range from which the kernel chooses. */
    static int freePort() {
        for (int attempt = 0; attempt < 100; attempt++) {
            int candidate = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            try (ServerSocket socket = new ServerSocket(candidate, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // in use
            }
        }
        throw new IllegalStateException("no free port");
    }

    String json() {
        return """
            {"name":"%s","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
             "limits":{"cores":0.5,"memory_mb":128,"sockets":%d},
             "feed":"%s","known":%s,
             "settings":{"callers":{"marks_retry":true},
              "classes":[{"effect":"%s","group":"%s","hard_limit_ns":%d,"late_worth":0.2,"name":"save",
                "on_time_ns":600000000,"stream":false,"window_ns":%d,"worth":1.0}],
              "discovery":"pushed","family":"warm",
              "family_info":{"keep_ns":12000000000,"load_control":%b,"load_period_ns":%d,"load_ratio":%s,
                "load_wait_ns":10000000000,"loads_anyway":%s,"not_loaded":"%s","price_of_idle":0.0,
                "ram_mb_by_kind":[8192.0],"says_company":false,"warm_notes":true},
              "feedback":{"how":"silent","names":[]},
              "goal":{"whole":0.7,"worst_class":0.0,"worst_tenant":0.0,"worst_window":0.3},
              "group_size":%d,"kinds":["small"],
              "limits":{"cancelling":true,"conn_idle_ns":15000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":100000,
                "dial_timeout_ns":%d,"max_attempts":3,"max_open":4096,"max_retry_after_ns":2000000000,"peers":false,
                "probes":false,"retry_after":true,"second_copies":false,"streams_per_conn":32},
              "my_number":%d,
              "obligations":{"ask_within_ns":10000000000,"cold_from":0.17,"grace_to_answer_ns":16000000,
                "overload_factor":2.0,"stop_sending_within_ns":%d,"tip_after_ns":1000000000,"warm_after_ns":16000000000},
              "over_share_worth":0.1,
              "prices":{"connection":0.0,"cross_zone":0.04,"discovery":0.0,"handshake":0.0,"late_fail":0.05,"moves":0.0,
                "origin":0.05,"peer":0.0,"probe":0.01,"waste":0.03},
              "realms":[],"stage":0,"tick_ns":4000000,"tiers":["workers"],"weights":"nominal","worth_by":"request",
              "zone":"z","zones":["z"]}}
            """
                .formatted(
                        name,
                        port,
                        sockets,
                        feed,
                        known,
                        effect,
                        group,
                        deadlineMillis * 1_000_000,
                        windowMillis * 1_000_000,
                        loadControl,
                        loadPeriodMillis * 1_000_000,
                        loadRatio,
                        loadsAnyway,
                        notLoaded,
                        groupSize,
                        dialTimeoutMillis * 1_000_000,
                        number,
                        drainGraceMillis * 1_000_000);
    }
}
