package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import jakarta.xml.bind.annotation.XmlList;
import java.util.ArrayList;
import java.util.List;

/**
 * Binds element {@code workers} of the settings file: connections to workers, their load reports and the loading of functions.
 * Each field has the meaning of the attribute that its annotation names; settings.xsd has the units, defaults and ranges.
 */
final class WorkerSettingsXml {
    @XmlAttribute(name = "weights")
    String weightReporting = "nominal";

    @XmlAttribute(name = "reports")
    String loadReporting = "piggyback";

    @XmlList
    @XmlAttribute(name = "report-names")
    List<String> metricNames = new ArrayList<>(List.of("rif", "x0"));

    @XmlAttribute(name = "probes")
    boolean probes = true;

    @XmlAttribute(name = "probe-timeout-ms")
    long probeTimeoutMillis = 250;

    @XmlAttribute(name = "dial-timeout-ms")
    long connectTimeoutMillis = 250;

    @XmlAttribute(name = "idle-ms")
    long idleTimeoutMillis = 15000;

    @XmlAttribute(name = "streams-per-connection")
    int streamsPerConnection = 100;

    @XmlAttribute(name = "max-connections")
    int maxConnections = 8;

    @XmlAttribute(name = "max-answer-kb")
    int maxResponseKb = 16384;

    @XmlAttribute(name = "max-attempts")
    int maxAttempts = 3;

    @XmlAttribute(name = "second-copies")
    boolean hedging;

    @XmlAttribute(name = "cancelling")
    boolean cancellation = true;

    @XmlElement(name = "kind")
    List<Kind> kinds = new ArrayList<>();

    @XmlElement(name = "loading")
    Loading loading;

    /** Element {@code kind}: a kind of workers, all with the same memory size. */
    static final class Kind {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "memory-mb")
        double memoryMb;
    }

    /** Element {@code loading}: how functions are loaded into workers. */
    static final class Loading {
        @XmlAttribute(name = "not-loaded")
        String onMiss;

        @XmlAttribute(name = "keep-ms")
        long idleRetentionMillis;

        @XmlAttribute(name = "orders")
        boolean loadOrdersAllowed = true;

        @XmlAttribute(name = "wait-ms")
        long loadTimeoutMillis = 10000;

        @XmlAttribute(name = "price-of-idle")
        double idlePrice;

        @XmlAttribute(name = "notes")
        boolean reportsCacheStatus = true;

        @XmlAttribute(name = "company")
        boolean reportsConcurrency;

        @XmlElement(name = "ration")
        LoadQuota quota;
    }

    /** Element {@code ration}: the quota of loads that may be ordered in a period. */
    static final class LoadQuota {
        @XmlAttribute(name = "period-ms")
        long periodMillis;

        @XmlAttribute(name = "anyway")
        double base;

        @XmlAttribute(name = "ratio")
        double perRequest;
    }
}
