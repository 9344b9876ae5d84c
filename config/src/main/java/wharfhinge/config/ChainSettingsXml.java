package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import jakarta.xml.bind.annotation.XmlList;
import java.util.ArrayList;
import java.util.List;

/**
 * Binds element {@code chains} of the settings file: limits on chains of calls, and chains that clients call by name.
 * Each field has the meaning of the attribute that its annotation names; settings.xsd has the units, defaults and ranges.
 */
final class ChainSettingsXml {
    @XmlElement(name = "chain")
    List<Chain> chains = new ArrayList<>();

    @XmlAttribute(name = "max-open")
    int maxPendingChains = 2000;

    @XmlAttribute(name = "max-steps")
    int maxSteps = 4000;

    @XmlAttribute(name = "tenant-share")
    double tenantShare = 0.5;

    @XmlAttribute(name = "max-held-mb")
    int maxHeldMb = 64;

    @XmlAttribute(name = "give-up-ms")
    long maxDeadlineMillis = 2500;

    @XmlAttribute(name = "early-refusal")
    boolean earlyRejection = true;

    @XmlAttribute(name = "let-through")
    int rejectionsPerSample = 50;

    @XmlAttribute(name = "load-ahead")
    boolean prefetch = true;

    @XmlAttribute(name = "resume-window-ms")
    long resumeWindowMillis = 30_000;

    @XmlAttribute(name = "resume-keys")
    int resumeKeys = 1000;

    @XmlAttribute(name = "resume-mb")
    int resumeMb = 16;

    @XmlAttribute(name = "resume-file")
    String resumeFile = "";

    /** Element {@code chain}: a chain that clients call by name. */
    static final class Chain {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "aim-ms")
        long latencyObjectiveMillis;

        @XmlElement(name = "step")
        List<ChainStep> steps = new ArrayList<>();
    }

    /** Element {@code step}: a call of a chain; its input is {@code client} or ids of other steps. */
    static final class ChainStep {
        @XmlAttribute(name = "id")
        String id;

        @XmlAttribute(name = "function")
        String function;

        @XmlAttribute(name = "class")
        String requestClass;

        @XmlList
        @XmlAttribute(name = "input")
        List<String> input = new ArrayList<>(List.of("client"));

        @XmlAttribute(name = "least-ms")
        long minMillis;

        @XmlAttribute(name = "memory-mb")
        double memoryMb;

        @XmlAttribute(name = "lanes")
        int concurrencyPerCopy;

        @XmlAttribute(name = "load-ms")
        double loadMillis;

        @XmlAttribute(name = "cost-us")
        double costMicros;
    }
}
