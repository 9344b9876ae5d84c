package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import java.util.ArrayList;
import java.util.List;

/**
 * Binds the elements of the settings file that only the policy reads: request classes, tenants, protection rules and prices.
 * Each field has the meaning of the attribute that its annotation names; settings.xsd has the units, defaults and ranges.
 */
final class PolicySettingsXml {
    private PolicySettingsXml() {}

    /** Element {@code classes}: the request classes. */
    static final class Classes {
        @XmlAttribute(name = "worth-by")
        String priorityUnit = "request";

        @XmlElement(name = "class")
        List<CallClass> classes = new ArrayList<>();
    }

    /** Element {@code class}: a request class. */
    static final class CallClass {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "effect")
        String effect;

        @XmlAttribute(name = "group")
        String deduplicationScope = "all";

        @XmlAttribute(name = "window-ms")
        long deduplicationWindowMillis;

        @XmlAttribute(name = "aim-ms")
        long latencyObjectiveMillis;

        @XmlAttribute(name = "give-up-ms")
        long maxDeadlineMillis;

        @XmlAttribute(name = "worth")
        double priorityWeight = 1;

        @XmlAttribute(name = "late-worth")
        double latePriorityWeight;

        @XmlAttribute(name = "stream")
        boolean streaming;

        @XmlAttribute(name = "aim-stretch")
        double latencyObjectiveStretch;
    }

    /** Element {@code tenants}: the tenants and the priority weight of calls over quota. */
    static final class Tenants {
        @XmlAttribute(name = "over-share-worth")
        double overQuotaPriorityWeight = 0.1;

        @XmlElement(name = "tenant")
        List<Tenant> tenants = new ArrayList<>();
    }

    /** Element {@code tenant} of {@code tenants}: a tenant's share and quota. */
    static final class Tenant {
        @XmlAttribute(name = "name")
        String name;

        @XmlAttribute(name = "share")
        double share;

        @XmlAttribute(name = "quota-per-s")
        double quotaPerSecond;
    }

    /** Element {@code rules}: limits that protect workers. */
    static final class Rules {
        @XmlAttribute(name = "stop-sending-within-ms")
        long drainWithinMillis;

        @XmlAttribute(name = "cold-from")
        double slowStartFrom;

        @XmlAttribute(name = "warm-after-ms")
        long slowStartMillis;

        @XmlAttribute(name = "overload-factor")
        double overloadFactor;

        @XmlAttribute(name = "tip-after-ms")
        long overloadWindowMillis;

        @XmlAttribute(name = "grace-to-answer-ms")
        long answerGraceMillis = 16;

        @XmlAttribute(name = "ask-within-ms")
        long pollWithinMillis = 10000;
    }

    /** Element {@code goal}: weights of the objectives of the policy. */
    static final class Goal {
        @XmlAttribute(name = "whole")
        double overall = 0.7;

        @XmlAttribute(name = "worst-window")
        double worstWindow = 0.3;

        @XmlAttribute(name = "worst-class")
        double worstClass;

        @XmlAttribute(name = "worst-tenant")
        double worstTenant;
    }

    /** Element {@code prices}: the cost of each unit of use, in points of the objective. */
    static final class PriceList {
        @XmlAttribute(name = "cross-zone")
        double crossZone;

        @XmlAttribute(name = "waste")
        double wastedLoad;

        @XmlAttribute(name = "origin")
        double origin;

        @XmlAttribute(name = "probe")
        double probe;

        @XmlAttribute(name = "peer")
        double peer;

        @XmlAttribute(name = "late-fail")
        double lateFailure;
    }
}
