package wharfhinge.policy;

import java.util.List;

/** Settings of a dispatcher, given at its start; absent values are 0, false or null. */
public record DispatcherSettings(
        int groupSize,
        int dispatcherNumber,
        long tickNanos,
        String zone,
        List<String> zones,
        List<String> kinds,
        Discovery discovery,
        WeightReporting weightReporting,
        PriorityUnit priorityUnit,
        double overQuotaPriorityWeight,
        List<RequestClass> classes,
        List<Tenant> tenants,
        FunctionLoading functionLoading,
        LoadFeedback feedback,
        ObjectiveWeights objectiveWeights,
        DispatchLimits limits,
        ProtectionRules protectionRules,
        Prices prices,
        ClientBehavior clientBehavior) {}
