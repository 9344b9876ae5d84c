package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The example of docs/embedding.md compiles and runs as it is printed there. */
class EmbeddingPageTest {

    @Test
    void embeddingExample_compilesAndSends(@TempDir Path folder) throws Exception {
        String page = Files.readString(Path.of("../docs/embedding.md"));
        int start = page.indexOf("```java\n") + "```java\n".length();
        Path source = folder.resolve("Embedding.java");
        Files.writeString(source, page.substring(start, page.indexOf("```", start)));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int failed = compiler.run(
                null, null, errors, "-classpath", "target/classes", "-d", folder.toString(), source.toString());
        assertEquals(0, failed, errors.toString(StandardCharsets.UTF_8));
        assertTrue(printed(folder).contains("send r1 to 10.0.0.1:8080"));
    }

    private static String printed(Path folder) throws Exception {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (URLClassLoader loader =
                new URLClassLoader(new URL[] {folder.toUri().toURL()}, EmbeddingPageTest.class.getClassLoader())) {
            System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
            Method main = loader.loadClass("Embedding").getDeclaredMethod("main", String[].class);
            main.setAccessible(true);
            main.invoke(null, (Object) new String[0]);
        } finally {
            System.setOut(originalOut);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
