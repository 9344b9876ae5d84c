package wharfhinge.config;

/** Conversion factors from the units of the settings file to those used in the code. */
final class Units {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long MILLIS_PER_HOUR = 3_600_000L;
    static final int BYTES_PER_KB = 1 << 10;
    static final long BYTES_PER_MB = 1 << 20;

    private Units() {}
}
