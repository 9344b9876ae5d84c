package wharfhinge.policy;

import java.util.List;

/** Which load reports there are. */
public record LoadFeedback(LoadReporting reporting, List<String> metricNames) {}
