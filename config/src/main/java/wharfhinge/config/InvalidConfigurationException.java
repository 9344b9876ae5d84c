package wharfhinge.config;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown for a file that can't be used. Carries every fault of the file; the message has one line per fault. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<Fault> faults;

    InvalidConfigurationException(Path file, List<Fault> faults) {
        this(file, faults, null);
    }

    InvalidConfigurationException(Path file, List<Fault> faults, Throwable cause) {
        super(faults.stream().sorted().map(fault -> file + ": " + fault).collect(Collectors.joining("\n")), cause);
        this.faults = faults.stream().sorted().toList();
    }

    /** All faults, ordered by their position in the file. */
    public List<Fault> faults() {
        return faults;
    }
}
