package wharfhinge.policy;

/** Where load reports come: with answers and probes, with probes alone, or nowhere. */
public enum LoadReporting {
    PIGGYBACK,
    PULL,
    SILENT
}
