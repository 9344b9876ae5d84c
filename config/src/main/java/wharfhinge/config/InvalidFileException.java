package wharfhinge.config;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** A file that is not taken; carries all that is wrong with it at once. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<Fault> faults;

    InvalidFileException(Path file, List<Fault> faults) {
        super(faults.stream().sorted().map(f -> file + ": " + f).collect(Collectors.joining("\n")));
        this.faults = faults.stream().sorted().toList();
    }

    /** What is wrong, in the order of the file. */
    public List<Fault> faults() {
        return faults;
    }
}
