package wharfhinge.policy;

import java.util.List;

/** Where load reports come from and which metrics they contain. */
public record LoadFeedback(LoadReporting reporting, List<String> metricNames) {}
