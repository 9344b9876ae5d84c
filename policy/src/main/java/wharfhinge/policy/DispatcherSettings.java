package wharfhinge.policy;

import java.util.List;

/**
 * Settings of a dispatcher, given at its start; absent values are 0, false or null.
 *
 * @param groupSize              number of dispatchers that share the workers, this one included
 * @param dispatcherNumber       number of this dispatcher in the group, from 0
 * @param tickNanos              unit of safety margins, such as those before deadlines
 * @param zone                   zone of this dispatcher
 * @param kinds                  kinds of workers, in the order of {@link FunctionLoading#memoryMbByKind}
 * @param overQuotaPriorityWeight priority weight of requests beyond their tenant's quota
 * @param classes                the request classes; at least one
 */
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
