package wharfhinge.config;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** A file that can't be used; carries all that is wrong with it at once, and the message has a line for each. */
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

    /** What is wrong, in the order of the file. */
    public List<Fault> faults() {
        return faults;
    }
}
