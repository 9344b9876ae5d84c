package wharfhinge.app.drill;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import wharfhinge.config.InvalidConfigurationException;
import wharfhinge.config.XmlFile;
import wharfhinge.standin.Scenario;

/** Reads scenario files: the built-in ones by name, and a user's own. */
public final class Scenarios {
    /** Names of the built-in scenarios that can be chosen on the command line. */
    public static final List<String> NAMES =
            List.of("bad-day", "calm", "loads-on-call", "bad-day-chains", "chains", "workers", "forty-workers");

    private Scenarios() {}

    /** Reads the file, or the built-in scenario of that name if {@code file} is null. */
    public static Scenario load(Path file, String name) throws InvalidConfigurationException, IOException {
        if (file != null) {
            return read(file);
        }
        Path temporaryFile = Files.createTempFile("scenario", ".xml");
        try (InputStream in = Scenarios.class.getResourceAsStream(name + ".xml")) {
            if (in == null) {
                throw new IOException("scenario: found '" + name + "', allowed: " + NAMES + " or a file");
            }
            Files.write(temporaryFile, in.readAllBytes());
            return read(temporaryFile);
        } finally {
            Files.delete(temporaryFile);
        }
    }

    private static Scenario read(Path file) throws InvalidConfigurationException {
        return XmlFile.load(file, Scenario.class.getResource("scenario.xsd"), Scenario.class, (scenario, faults) -> {
            double shareSum = scenario.offeredTraffic().classes().stream()
                    .mapToDouble(c -> c.share())
                    .sum();
            if (Math.abs(shareSum - 1) > 0.001) {
                faults.accept(scenario, "found shares of classes that add up to " + shareSum + ", allowed: 1");
            }
        });
    }
}
