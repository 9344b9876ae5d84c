package wharfhinge.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.File;
import java.io.UncheckedIOException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import wharfhinge.config.ChainConfig;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.engine.ChainCall;
import wharfhinge.policy.Effect;
import wharfhinge.policy.RequestClass;

/** Tests that the first chain of a process loads no JSON classes, which would delay an answer that is due just before its deadline. */
class ChainJsonCodecClassLoadingTest {

    /** Loads all classes of the class path again, as a new process would, and records their names. */
    private static final class RecordingLoader extends URLClassLoader {
        private final List<String> loadedClasses = new CopyOnWriteArrayList<>();

        RecordingLoader() {
            super(classPath(), ClassLoader.getPlatformClassLoader());
        }

        private static URL[] classPath() {
            return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                    .map(RecordingLoader::url)
                    .toArray(URL[]::new);
        }

        private static URL url(String entry) {
            try {
                return new File(entry).toURI().toURL();
            } catch (MalformedURLException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        protected Class<?> findClass(String name) throws ClassNotFoundException {
            Class<?> found = super.findClass(name);
            loadedClasses.add(name);
            return found;
        }

        List<String> jsonClasses() {
            return loadedClasses.stream()
                    .filter(name -> name.startsWith("com.fasterxml.") || name.startsWith("com.networknt."))
                    .toList();
        }
    }

    /** Is loaded by the recording loader. Creates the codec and returns a task that reads a chain and writes its answer. */
    static final class FirstChain implements Callable<Callable<byte[]>> {
        @Override
        public Callable<byte[]> call() {
            RequestClass once = new RequestClass("once", Effect.AT_MOST_ONCE, null, 0, 1, 1, 1, 1, false, 1);
            ChainConfig config = new ChainConfig(null, 1_000_000_000L, 0, 0, 0, null, Map.of());
            ChainJsonCodec codec = new ChainJsonCodec(Map.of("once", once), once, config);
            return () -> readAndWrite(codec);
        }

        private static byte[] readAndWrite(ChainJsonCodec codec) throws ChainJsonCodec.InvalidChainException {
            String json = "{\"deadline_ms\":500,\"steps\":[{\"id\":\"a\",\"function\":\"f\",\"load_ms\":1}]}";
            ChainCall chain = codec.read(json.getBytes(StandardCharsets.UTF_8), "x1", 0, (result, answers) -> {});
            ChainResult result =
                    new ChainResult(ChainResult.Kind.FAILED, "r", List.of(ChainResult.StepState.MAY_HAVE_RUN));
            return ChainJsonCodec.write(chain.plan(), result, Arrays.asList((ChainCall.StepAnswer) null));
        }
    }

    @Test
    @SuppressWarnings("unchecked")
    void firstChain_loadsNoJsonClass() throws Exception {
        try (RecordingLoader loader = new RecordingLoader()) {
            var constructor = loader.loadClass(FirstChain.class.getName()).getDeclaredConstructor();
            constructor.setAccessible(true);
            Callable<byte[]> firstChain = ((Callable<Callable<byte[]>>) constructor.newInstance()).call();
            List<String> before = loader.jsonClasses();
            byte[] answer = firstChain.call();
            assertFalse(before.isEmpty(), "the loader recorded nothing");
            assertEquals(
                    List.of(),
                    loader.jsonClasses()
                            .subList(before.size(), loader.jsonClasses().size()));
            assertEquals(
                    "{\"answer\":\"failed\",\"reason\":\"r\",\"steps\":[{\"id\":\"a\",\"state\":\"may-have-run\"}]}",
                    new String(answer, StandardCharsets.UTF_8));
        }
    }
}
