package wharfhinge.policy;

/** Where load reports come from: responses and probe replies, probe replies alone, or nowhere. */
public enum LoadReporting {
    PIGGYBACK,
    PULL,
    SILENT
}
