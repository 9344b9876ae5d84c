package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import jakarta.xml.bind.annotation.XmlList;
import jakarta.xml.bind.annotation.XmlRootElement;
import java.util.ArrayList;
import java.util.List;

/**
 * Binds the root element of the settings file and the elements that configure the gateway process. Each field has the meaning of the
 * attribute that its annotation names; settings.xsd has the units, defaults and ranges, and docs/operate/settings.md describes each
 * setting. The rest of the code uses {@link GatewayConfig}.
 */
@XmlRootElement(name = "wharfhinge")
final class SettingsXml {
    @XmlElement(name = "gateway")
    Gateway gateway;

    @XmlElement(name = "clients")
    ClientSettingsXml.Clients clients;

    @XmlElement(name = "workers")
    WorkerSettingsXml workers;

    @XmlElement(name = "zones")
    Zones zones;

    @XmlElement(name = "classes")
    PolicySettingsXml.Classes classes;

    @XmlElement(name = "tenants")
    PolicySettingsXml.Tenants tenants = new PolicySettingsXml.Tenants();

    @XmlElement(name = "rules")
    PolicySettingsXml.Rules rules;

    @XmlElement(name = "goal")
    PolicySettingsXml.Goal goal = new PolicySettingsXml.Goal();

    @XmlElement(name = "prices")
    PolicySettingsXml.PriceList prices = new PolicySettingsXml.PriceList();

    @XmlElement(name = "roster")
    EndpointSource endpointSource;

    @XmlElement(name = "peers")
    Peers peers = new Peers();

    @XmlElement(name = "chains")
    ChainSettingsXml chains = new ChainSettingsXml();

    @XmlElement(name = "capture")
    Capture capture;

    @XmlElement(name = "grpc")
    ClientSettingsXml.Grpc grpc;

    @XmlElement(name = "door")
    AdmissionSettingsXml admission;

    @XmlElement(name = "tls")
    ClientSettingsXml.Tls tls;

    @XmlElement(name = "proof")
    ClientSettingsXml.Authentication authentication;

    @XmlElement(name = "log")
    Log log = new Log();

    /** Element {@code gateway}: identity and zone of this gateway. */
    static final class Gateway {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "zone")
        String zone;

        @XmlAttribute(name = "number")
        int number;

        @XmlAttribute(name = "group")
        int groupSize = 1;

        @XmlAttribute(name = "seed")
        long seed;

        @XmlAttribute(name = "tick-ms")
        long tickMillis = 2;
    }

    /** Element {@code zones}: the names of all zones. */
    static final class Zones {
        @XmlList
        @XmlAttribute(name = "names")
        List<String> names = new ArrayList<>();
    }

    /** Element {@code roster}: the source of the endpoint list. */
    static final class EndpointSource {
        @XmlAttribute(name = "url")
        String url;

        @XmlAttribute(name = "remembered")
        String snapshotFile;

        @XmlAttribute(name = "discovery")
        String discovery = "pushed";

        @XmlAttribute(name = "silent-after-ms")
        long silenceTimeoutMillis = 5000;

        @XmlAttribute(name = "reconnect-least-ms")
        long minReconnectMillis = 100;

        @XmlAttribute(name = "reconnect-most-ms")
        long maxReconnectMillis = 5000;
    }

    /** Element {@code peers}: the other gateways. */
    static final class Peers {
        @XmlElement(name = "peer")
        List<Peer> peers = new ArrayList<>();
    }

    /** Element {@code peer}: number and address of another gateway. */
    static final class Peer {
        @XmlAttribute(name = "number")
        int number;

        @XmlAttribute(name = "address")
        String address;
    }

    /** Element {@code capture}: the capture of events and decisions. */
    static final class Capture {
        @XmlAttribute(name = "folder")
        String folder;

        @XmlAttribute(name = "hash-key-file")
        String hashKeyFile = "";

        @XmlAttribute(name = "segment-mb")
        int segmentMb = 16;

        @XmlAttribute(name = "most-mb")
        int maxMb = 512;

        @XmlAttribute(name = "most-hours")
        int maxHours = 48;
    }

    /** Element {@code log}: log output. */
    static final class Log {
        @XmlAttribute(name = "format")
        String format = "plain";

        @XmlAttribute(name = "level")
        String level = "info";

        @XmlAttribute(name = "remarks-per-s")
        int diagnosticsPerSecond = 20;
    }
}
