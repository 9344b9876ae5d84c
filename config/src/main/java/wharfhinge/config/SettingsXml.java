package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAccessType;
import jakarta.xml.bind.annotation.XmlAccessorType;
import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import jakarta.xml.bind.annotation.XmlList;
import jakarta.xml.bind.annotation.XmlRootElement;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings file as it stands, an element a class and an attribute a field of the same name; settings.xsd has the
 * units, defaults and ranges, docs/operate/settings.md what each is for. {@link GatewayConfig} is what the rest uses.
 */
@XmlRootElement(name = "wharfhinge")
@XmlAccessorType(XmlAccessType.FIELD)
final class SettingsXml {
    @XmlElement
    Gateway gateway;

    @XmlElement
    Clients clients;

    @XmlElement
    Workers workers;

    @XmlElement
    Zones zones;

    @XmlElement
    Classes classes;

    @XmlElement
    Tenants tenants = new Tenants();

    @XmlElement
    Rules rules;

    @XmlElement
    GoalShares goal = new GoalShares();

    @XmlElement
    PriceList prices = new PriceList();

    @XmlElement
    Roster roster;

    @XmlElement
    Peers peers = new Peers();

    @XmlElement
    Chains chains = new Chains();

    @XmlElement
    Capture capture;

    @XmlElement
    Grpc grpc;

    @XmlElement
    Door door;

    @XmlElement
    Tls tls;

    @XmlElement
    Proof proof;

    @XmlElement
    Log log = new Log();

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Gateway {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "zone")
        String zone;

        @XmlAttribute(name = "number")
        int number;

        @XmlAttribute(name = "group")
        int group = 1;

        @XmlAttribute(name = "seed")
        long seed;

        @XmlAttribute(name = "tick-ms")
        long tickMillis = 2;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Clients {
        @XmlAttribute(name = "address")
        String address = "127.0.0.1";

        @XmlAttribute(name = "port")
        int port;

        @XmlAttribute(name = "reuse-port")
        boolean reusePort;

        @XmlAttribute(name = "max-connections")
        int maxConnections = 10000;

        @XmlAttribute(name = "idle-ms")
        long idleMillis = 60000;

        @XmlAttribute(name = "max-body-kb")
        int maxBodyKb = 1024;

        @XmlAttribute(name = "max-header-kb")
        int maxHeaderKb = 16;

        @XmlAttribute(name = "max-open")
        int maxOpen = 20000;

        @XmlAttribute(name = "hand-over")
        int handOver = 4096;

        @XmlAttribute(name = "stop-within-ms")
        long stopWithinMillis = 5000;

        @XmlAttribute(name = "rehearse-ms")
        long rehearseMillis = 3000;

        @XmlAttribute(name = "retry-after")
        boolean retryAfter = true;

        @XmlAttribute(name = "max-retry-after-ms")
        long maxRetryAfterMillis = 2000;

        @XmlAttribute(name = "marks-retry")
        boolean marksRetry = true;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Kind {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "memory-mb")
        double memoryMb;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Ration {
        @XmlAttribute(name = "period-ms")
        long periodMillis;

        @XmlAttribute(name = "anyway")
        double anyway;

        @XmlAttribute(name = "ratio")
        double ratio;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Loading {
        @XmlAttribute(name = "not-loaded")
        String notLoaded;

        @XmlAttribute(name = "keep-ms")
        long keepMillis;

        @XmlAttribute(name = "orders")
        boolean orders = true;

        @XmlAttribute(name = "wait-ms")
        long waitMillis = 10000;

        @XmlAttribute(name = "price-of-idle")
        double priceOfIdle;

        @XmlAttribute(name = "notes")
        boolean notes = true;

        @XmlAttribute(name = "company")
        boolean company;

        @XmlElement
        Ration ration;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Workers {
        @XmlAttribute(name = "weights")
        String weights = "nominal";

        @XmlAttribute(name = "reports")
        String reports = "piggyback";

        @XmlList
        @XmlAttribute(name = "report-names")
        List<String> reportNames = new ArrayList<>(List.of("rif", "x0"));

        @XmlAttribute(name = "probes")
        boolean probes = true;

        @XmlAttribute(name = "probe-timeout-ms")
        long probeTimeoutMillis = 250;

        @XmlAttribute(name = "dial-timeout-ms")
        long dialTimeoutMillis = 250;

        @XmlAttribute(name = "idle-ms")
        long idleMillis = 15000;

        @XmlAttribute(name = "streams-per-connection")
        int streamsPerConnection = 100;

        @XmlAttribute(name = "max-connections")
        int maxConnections = 8;

        @XmlAttribute(name = "max-answer-kb")
        int maxAnswerKb = 16384;

        @XmlAttribute(name = "max-attempts")
        int maxAttempts = 3;

        @XmlAttribute(name = "second-copies")
        boolean secondCopies;

        @XmlAttribute(name = "cancelling")
        boolean cancelling = true;

        @XmlElement(name = "kind")
        List<Kind> kinds = new ArrayList<>();

        @XmlElement
        Loading loading;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Zones {
        @XmlList
        @XmlAttribute(name = "names")
        List<String> names = new ArrayList<>();
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class CallClass {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "effect")
        String effect;

        @XmlAttribute(name = "group")
        String group = "all";

        @XmlAttribute(name = "window-ms")
        long windowMillis;

        @XmlAttribute(name = "aim-ms")
        long aimMillis;

        @XmlAttribute(name = "give-up-ms")
        long giveUpMillis;

        @XmlAttribute(name = "worth")
        double worth = 1;

        @XmlAttribute(name = "late-worth")
        double lateWorth;

        @XmlAttribute(name = "stream")
        boolean stream;

        @XmlAttribute(name = "aim-stretch")
        double aimStretch;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Classes {
        @XmlAttribute(name = "worth-by")
        String worthBy = "request";

        @XmlElement(name = "class")
        List<CallClass> classes = new ArrayList<>();
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Tenant {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "share")
        double share;

        @XmlAttribute(name = "quota-per-s")
        double quotaPerS;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Tenants {
        @XmlAttribute(name = "over-share-worth")
        double overShareWorth = 0.1;

        @XmlElement(name = "tenant")
        List<Tenant> tenants = new ArrayList<>();
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Rules {
        @XmlAttribute(name = "stop-sending-within-ms")
        long stopSendingWithinMillis;

        @XmlAttribute(name = "cold-from")
        double coldFrom;

        @XmlAttribute(name = "warm-after-ms")
        long warmAfterMillis;

        @XmlAttribute(name = "overload-factor")
        double overloadFactor;

        @XmlAttribute(name = "tip-after-ms")
        long tipAfterMillis;

        @XmlAttribute(name = "grace-to-answer-ms")
        long graceToAnswerMillis = 16;

        @XmlAttribute(name = "ask-within-ms")
        long askWithinMillis = 10000;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class GoalShares {
        @XmlAttribute(name = "whole")
        double whole = 0.7;

        @XmlAttribute(name = "worst-window")
        double worstWindow = 0.3;

        @XmlAttribute(name = "worst-class")
        double worstClass;

        @XmlAttribute(name = "worst-tenant")
        double worstTenant;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class PriceList {
        @XmlAttribute(name = "cross-zone")
        double crossZone;

        @XmlAttribute(name = "waste")
        double waste;

        @XmlAttribute(name = "origin")
        double origin;

        @XmlAttribute(name = "probe")
        double probe;

        @XmlAttribute(name = "peer")
        double peer;

        @XmlAttribute(name = "late-fail")
        double lateFail;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Roster {
        @XmlAttribute(name = "url")
        String url;

        @XmlAttribute(name = "remembered")
        String remembered;

        @XmlAttribute(name = "discovery")
        String discovery = "pushed";

        @XmlAttribute(name = "silent-after-ms")
        long silentAfterMillis = 5000;

        @XmlAttribute(name = "reconnect-least-ms")
        long reconnectLeastMillis = 100;

        @XmlAttribute(name = "reconnect-most-ms")
        long reconnectMostMillis = 5000;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Peer {
        @XmlAttribute(name = "number")
        int number;

        @XmlAttribute(name = "address")
        String address;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Peers {
        @XmlElement(name = "peer")
        List<Peer> peers = new ArrayList<>();
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Log {
        @XmlAttribute(name = "format")
        String format = "plain";

        @XmlAttribute(name = "level")
        String level = "info";

        @XmlAttribute(name = "remarks-per-s")
        int remarksPerS = 20;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static class Limits {
        @XmlAttribute(name = "weight")
        double weight = 1;

        @XmlAttribute(name = "rate-per-s")
        double ratePerS;

        @XmlAttribute(name = "burst")
        double burst = 1;

        @XmlAttribute(name = "most-open")
        int mostOpen;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class DoorTenant extends Limits {
        @XmlAttribute(name = "name")
        String name;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Door {
        @XmlAttribute(name = "full-at")
        double fullAt = 0.7;

        @XmlElement(name = "others")
        Limits others = new Limits();

        @XmlElement(name = "tenant")
        List<DoorTenant> tenants = new ArrayList<>();
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Tls {
        @XmlAttribute(name = "certificates")
        String certificates;

        @XmlAttribute(name = "key")
        String key;

        @XmlAttribute(name = "clients")
        String clients = "";

        @XmlAttribute(name = "clients-needed")
        boolean clientsNeeded;

        @XmlAttribute(name = "revoked")
        String revoked = "";
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Proof {
        @XmlAttribute(name = "needed")
        boolean needed = true;

        @XmlAttribute(name = "token-key-file")
        String tokenKeyFile = "";
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Grpc {
        @XmlAttribute(name = "address")
        String address = "127.0.0.1";

        @XmlAttribute(name = "port")
        int port;

        @XmlAttribute(name = "reflection")
        boolean reflection;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Capture {
        @XmlAttribute(name = "folder")
        String folder;

        @XmlAttribute(name = "hash-key-file")
        String hashKeyFile = "";

        @XmlAttribute(name = "segment-mb")
        int segmentMb = 16;

        @XmlAttribute(name = "most-mb")
        int mostMb = 512;

        @XmlAttribute(name = "most-hours")
        int mostHours = 48;
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Chains {
        @XmlElement(name = "chain")
        List<Chain> chains = new ArrayList<>();

        @XmlAttribute(name = "max-open")
        int maxOpen = 2000;

        @XmlAttribute(name = "max-steps")
        int maxSteps = 4000;

        @XmlAttribute(name = "tenant-share")
        double tenantShare = 0.5;

        @XmlAttribute(name = "max-held-mb")
        int maxHeldMb = 64;

        @XmlAttribute(name = "give-up-ms")
        long giveUpMillis = 2500;

        @XmlAttribute(name = "early-refusal")
        boolean earlyRefusal = true;

        @XmlAttribute(name = "let-through")
        int letThrough = 50;

        @XmlAttribute(name = "load-ahead")
        boolean loadAhead = true;

        @XmlAttribute(name = "resume-window-ms")
        long resumeWindowMillis = 30_000;

        @XmlAttribute(name = "resume-keys")
        int resumeKeys = 1000;

        @XmlAttribute(name = "resume-mb")
        int resumeMb = 16;

        @XmlAttribute(name = "resume-file")
        String resumeFile = "";
    }

    @XmlAccessorType(XmlAccessType.FIELD)
    static final class Chain {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "aim-ms")
        long aimMillis;

        @XmlElement(name = "step")
        List<ChainStep> steps = new ArrayList<>();
    }

    @XmlAccessorType(XmlAccessType.FIELD)
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
        long leastMillis;

        @XmlAttribute(name = "memory-mb")
        double memoryMb;

        @XmlAttribute(name = "lanes")
        int lanes;

        @XmlAttribute(name = "load-ms")
        double loadMillis;

        @XmlAttribute(name = "cost-us")
        double costUs;
    }
}
