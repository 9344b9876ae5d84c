package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The deploy file names the files that decide. */
class DeployFileTest {

    /**
     * Operators and the bench read from the deploy file which files decide: each is named there, and nothing that is
     * not there.
     */
    @Test
    void everyFileOfTheModule_isNamedInTheDeployFile() throws Exception {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        Matcher list = Pattern.compile("(?m)^policy = \\[([^\\]]*)\\]").matcher(deploy);
        assertTrue(list.find());
        Set<String> named =
                new TreeSet<>(List.of(list.group(1).replaceAll("[\"\\s]", "").split(",")));
        Set<String> present = new TreeSet<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            files.filter(file -> file.toString().endsWith(".java")).forEach(file -> present.add("policy/" + file));
        }
        assertTrue(present.containsAll(named), () -> "named but absent: " + named);
        present.removeAll(named);
        assertEquals(
                Set.of(), present.stream().filter(DeployFileTest::hasStatements).collect(Collectors.toSet()));
    }

    /** Whether a file holds more than a message's components or an interface's signatures. */
    private static boolean hasStatements(String file) {
        try {
            return Pattern.compile("(?m)^(\\w+ )*class ")
                    .matcher(Files.readString(Path.of("..").resolve(file)))
                    .find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
