package wharfhinge.app.drill;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import wharfhinge.config.InvalidConfigurationException;
import wharfhinge.config.XmlFile;
import wharfhinge.standin.Scenario;

/** Scenario files: those that come with the program, by name, and a user's own. */
public final class Scenarios {
    /** Names of those that come with the program. */
    public static final List<String> NAMES =
            List.of("bad-day", "calm", "loads-on-call", "bad-day-chains", "chains", "workers", "forty-workers");

    private Scenarios() {}

    /** The file, or where it is null the scenario of that name. */
    public static Scenario load(Path file, String name) throws InvalidConfigurationException, IOException {
        if (file != null) {
            return read(file);
        }
        Path copy = Files.createTempFile("scenario", ".xml");
        try (InputStream in = Scenarios.class.getResourceAsStream(name + ".xml")) {
            if (in == null) {
                throw new IOException("scenario: found '" + name + "', allowed: " + NAMES + " or a file");
            }
            Files.write(copy, in.readAllBytes());
            return read(copy);
        } finally {
            Files.delete(copy);
        }
    }

    private static Scenario read(Path file) throws InvalidConfigurationException {
        return XmlFile.load(file, Scenario.class.getResource("scenario.xsd"), Scenario.class, (scenario, faults) -> {
            double shares = scenario.offered().classes().stream()
                    .mapToDouble(c -> c.share())
                    .sum();
            if (Math.abs(shares - 1) > 0.001) {
                faults.accept(scenario, "found shares of classes that add up to " + shares + ", allowed: 1");
            }
        });
    }
}
