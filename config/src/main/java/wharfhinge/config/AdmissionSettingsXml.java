package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import java.util.ArrayList;
import java.util.List;

/** Element {@code door} of the settings file: admission control by tenant. Each attribute is a field of the same meaning; settings.xsd has the units, defaults and ranges. */
final class AdmissionSettingsXml {
    @XmlAttribute(name = "full-at")
    double fullAtObjectiveShare = 0.7;

    @XmlElement(name = "others")
    Quota others = new Quota();

    @XmlElement(name = "tenant")
    List<QuotaOfTenant> tenants = new ArrayList<>();

    /** Attributes of a quota; element {@code others} by itself. */
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

    /** Element {@code tenant} of the door. */
    static final class QuotaOfTenant extends Quota {
        @XmlAttribute(name = "name")
        String name;
    }
}
