package wharfhinge.app;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharfhinge.worker.pack.InvalidPackageException;
import wharfhinge.worker.pack.Keys;
import wharfhinge.worker.pack.Manifest;
import wharfhinge.worker.pack.PackageBuilder;
import wharfhinge.worker.pack.PackageReader;

/** Function packages. */
@Command(
        name = "package",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Builds, shows and checks function packages.",
        synopsisSubcommandLabel = "WHAT",
        subcommands = {
            PackageCommand.Build.class,
            PackageCommand.Inspect.class,
            PackageCommand.Verify.class,
            PackageCommand.Key.class
        })
final class PackageCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "build, inspect, verify or key is needed");
    }

    private static PackageReader.Contents read(Path file, List<PublicKey> keys)
            throws IOException, InvalidPackageException {
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            return PackageReader.read(in, keys);
        }
    }

    /** Builds one. */
    @Command(
            name = "build",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Builds a package from a folder of classes; the same input gives the same bytes.")
    static final class Build implements Callable<Integer> {
        @Option(
                names = "--classes",
                required = true,
                paramLabel = "FOLDER",
                description = "Compiled classes and resources.")
        private Path classes;

        @Option(
                names = "--entry",
                required = true,
                description = "The class that implements wharfhinge.worker.api.Function.")
        private String entry;

        @Option(names = "--name", required = true, description = "The package's name.")
        private String name;

        @Option(names = "--pkg-version", defaultValue = "1", description = "Its version; default ${DEFAULT-VALUE}.")
        private String version;

        @Option(names = "--memory-mb", required = true, description = "Memory of one copy.")
        private int memoryMb;

        @Option(
                names = "--lanes",
                defaultValue = "1",
                description = "Calls that a copy runs at a time; default ${DEFAULT-VALUE}.")
        private int lanes;

        @Option(
                names = "--effect",
                defaultValue = "idempotent",
                description = "idempotent, keyed or at-most-once; " + "default ${DEFAULT-VALUE}.")
        private String effect;

        @Option(names = "--call-ms", defaultValue = "10000", description = "A call's limit; default ${DEFAULT-VALUE}.")
        private int callMillis;

        @Option(
                names = "--start-ms",
                defaultValue = "10000",
                description = "A start's limit; default ${DEFAULT-VALUE}.")
        private int startMillis;

        @Option(names = "--sign", paramLabel = "KEY", description = "Signs with this private key.")
        private Path key;

        @Option(
                names = "--out",
                required = true,
                paramLabel = "FILE",
                description = "Where to; NAME.pkg in a store's folder.")
        private Path out;

        @Override
        public Integer call() throws IOException {
            Path part = out.resolveSibling(out.getFileName() + ".building");
            try (OutputStream to = Files.newOutputStream(part)) {
                PackageBuilder.write(
                        new Manifest(name, version, entry, memoryMb, lanes, effect, callMillis, startMillis, Map.of()),
                        PackageBuilder.classes(classes),
                        key == null ? null : Keys.privateKey(key),
                        to);
                Files.move(part, out, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } catch (InvalidPackageException e) {
                System.err.println(e.getMessage());
                return Program.WANTING;
            } finally {
                Files.deleteIfExists(part);
            }
            System.out.println(out + " " + Files.size(out) + " bytes");
            return Program.OK;
        }
    }

    /** Shows one. */
    @Command(
            name = "inspect",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Shows a package's manifest; whole or refused as a worker without keys would.")
    static final class Inspect implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The package.")
        private Path file;

        @Override
        public Integer call() throws IOException {
            try {
                PackageReader.Contents contents = read(file, List.of());
                System.out.print(new String(contents.manifest().format(), java.nio.charset.StandardCharsets.UTF_8));
                System.out.println(
                        contents.signed() ? "# signed, not checked here: package verify --key" : "# not signed");
                return Program.OK;
            } catch (InvalidPackageException e) {
                System.err.println(file + ": " + e.getMessage());
                return Program.WANTING;
            }
        }
    }

    /** Checks one. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Checks packages as a worker with these keys would; exits with 1 unless all are taken.")
    static final class Verify implements Callable<Integer> {
        @Option(
                names = "--key",
                paramLabel = "FILE",
                description = "A trusted public key; without any, signatures are not asked for.")
        private List<Path> keyFiles = new ArrayList<>();

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "Packages.")
        private List<Path> files;

        @Override
        public Integer call() throws IOException {
            List<PublicKey> keys = new ArrayList<>();
            for (Path key : keyFiles) {
                keys.add(Keys.publicKey(key));
            }
            int code = Program.OK;
            for (Path file : files) {
                try {
                    read(file, keys);
                    System.out.println(file + ": taken");
                } catch (InvalidPackageException e) {
                    System.err.println(file + ": refused: " + e.getMessage());
                    code = Program.WANTING;
                }
            }
            return code;
        }
    }

    /** Makes keys. */
    @Command(
            name = "key",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Makes a publisher's Ed25519 key: FILE (private) and FILE.pub.")
    static final class Key implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "Where to; must not exist.")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Keys.generate(file);
            System.out.println(file + " and " + file + ".pub");
            return Program.OK;
        }
    }
}
