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

/** The deploy file lists the source files that make the decisions. */
class DeployFileTest {

    /**
     * Operators and the benchmark read from the deploy file which source files make the decisions: all of them must be
     * listed, and each listed file must exist.
     */
    @Test
    void everyFileOfTheModule_isListedInTheDeployFile() throws Exception {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        Matcher list = Pattern.compile("(?m)^policy = \\[([^\\]]*)\\]").matcher(deploy);
        assertTrue(list.find());
        Set<String> listed =
                new TreeSet<>(List.of(list.group(1).replaceAll("[\"\\s]", "").split(",")));
        Set<String> present = new TreeSet<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            files.filter(file -> file.toString().endsWith(".java")).forEach(file -> present.add("policy/" + file));
        }
        assertTrue(present.containsAll(listed), () -> "listed files, some of which do not exist: " + listed);
        present.removeAll(listed);
        assertEquals(
                Set.of(), present.stream().filter(DeployFileTest::declaresClass).collect(Collectors.toSet()));
    }

    /** Whether a file declares a class, and not only a record, an enum or an interface. */
    private static boolean declaresClass(String file) {
        try {
            return Pattern.compile("(?m)^(\\w+ )*class ")
                    .matcher(Files.readString(Path.of("..").resolve(file)))
                    .find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
