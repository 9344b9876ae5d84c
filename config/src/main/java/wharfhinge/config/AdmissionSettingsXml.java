package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import java.util.ArrayList;
import java.util.List;

/**
 * Binds element {@code door} of the settings file: admission control by tenant.
 * Each field has the meaning of the attribute that its annotation names; settings.xsd has the units, defaults and ranges.
 */
final class AdmissionSettingsXml {
    @XmlAttribute(name = "full-at")
    double fullAtObjectiveShare = 0.7;

    @XmlElement(name = "others")
    Quota others = new Quota();

    @XmlElement(name = "tenant")
    List<QuotaOfTenant> tenants = new ArrayList<>();

    /** A tenant's quota; element {@code others} holds the one that all tenants without an entry share. */
    static class Quota {
        @XmlAttribute(name = "weight")
        double weight = 1;

        @XmlAttribute(name = "rate-per-s")
        double requestsPerSecond;

        @XmlAttribute(name = "burst")
        double burst = 1;

        @XmlAttribute(name = "most-open")
        int maxPending;
    }

    /** Element {@code tenant} of {@code door}: the quota of the named tenant. */
    static final class QuotaOfTenant extends Quota {
        @XmlAttribute(name = "name")
        String name;
    }
}
