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

/** The command {@code package}: builds, shows and verifies function packages. */
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
        throw new CommandLine.ParameterException(
                spec.commandLine(), "missing subcommand: build, inspect, verify or key");
    }

    private static PackageReader.Contents read(Path file, List<PublicKey> keys)
            throws IOException, InvalidPackageException {
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            return PackageReader.read(in, keys);
        }
    }

    /** The command {@code package build}. */
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
                description = "Folder with the compiled classes and resources of the function.")
        private Path classes;

        @Option(
                names = "--entry",
                required = true,
                description = "Full name of the class that implements wharfhinge.worker.api.Function.")
        private String entry;

        @Option(names = "--name", required = true, description = "Name of the function that the package holds.")
        private String name;

        @Option(
                names = "--pkg-version",
                defaultValue = "1",
                description = "Version of the package; default ${DEFAULT-VALUE}.")
        private String version;

        @Option(
                names = "--memory-mb",
                required = true,
                description = "Memory that one copy of the function takes, in MB.")
        private int memoryMb;

        @Option(
                names = "--lanes",
                defaultValue = "1",
                description = "Slots of a copy (calls that it runs concurrently); default ${DEFAULT-VALUE}.")
        private int lanes;

        @Option(
                names = "--effect",
                defaultValue = "idempotent",
                description = "Effect of a call: idempotent, keyed or at-most-once; " + "default ${DEFAULT-VALUE}.")
        private String effect;

        @Option(
                names = "--call-ms",
                defaultValue = "10000",
                description = "Time limit of a call, in milliseconds; default ${DEFAULT-VALUE}.")
        private int callMillis;

        @Option(
                names = "--start-ms",
                defaultValue = "10000",
                description = "Time limit of the start of a copy, in milliseconds; default ${DEFAULT-VALUE}.")
        private int startMillis;

        @Option(
                names = "--sign",
                paramLabel = "KEY",
                description =
                        "Private key that signs the package (see: package key); the package is not signed if left out.")
        private Path key;

        @Option(
                names = "--out",
                required = true,
                paramLabel = "FILE",
                description = "Package file to write; a package store serves it from its folder under NAME.pkg.")
        private Path out;

        @Override
        public Integer call() throws IOException {
            Path temporaryFile = out.resolveSibling(out.getFileName() + ".building");
            try (OutputStream output = Files.newOutputStream(temporaryFile)) {
                PackageBuilder.write(
                        new Manifest(name, version, entry, memoryMb, lanes, effect, callMillis, startMillis, Map.of()),
                        PackageBuilder.classes(classes),
                        key == null ? null : Keys.privateKey(key),
                        output);
                Files.move(temporaryFile, out, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } catch (InvalidPackageException e) {
                System.err.println(e.getMessage());
                return Program.FAILURE;
            } finally {
                Files.deleteIfExists(temporaryFile);
            }
            System.out.println(out + " " + Files.size(out) + " bytes");
            return Program.OK;
        }
    }

    /** The command {@code package inspect}. */
    @Command(
            name = "inspect",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description =
                    "Prints the manifest of a package; refuses a damaged package as a worker without trusted keys does.")
    static final class Inspect implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "Package file.")
        private Path file;

        @Override
        public Integer call() throws IOException {
            try {
                PackageReader.Contents contents = read(file, List.of());
                System.out.print(new String(contents.manifest().format(), java.nio.charset.StandardCharsets.UTF_8));
                System.out.println(
                        contents.signed()
                                ? "# signed; the signature is not checked here, see: package verify --key"
                                : "# not signed");
                return Program.OK;
            } catch (InvalidPackageException e) {
                System.err.println(file + ": " + e.getMessage());
                return Program.FAILURE;
            }
        }
    }

    /** The command {@code package verify}. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description =
                    "Verifies packages as a worker with these trusted keys does; exits with 1 unless all are accepted.")
    static final class Verify implements Callable<Integer> {
        @Option(
                names = "--key",
                paramLabel = "FILE",
                description = "Trusted public key; may be repeated. Without any key, signatures are not required.")
        private List<Path> keyFiles = new ArrayList<>();

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "Package files.")
        private List<Path> files;

        @Override
        public Integer call() throws IOException {
            List<PublicKey> keys = new ArrayList<>();
            for (Path key : keyFiles) {
                keys.add(Keys.publicKey(key));
            }
            int exitCode = Program.OK;
            for (Path file : files) {
                try {
                    read(file, keys);
                    System.out.println(file + ": taken");
                } catch (InvalidPackageException e) {
                    System.err.println(file + ": refused: " + e.getMessage());
                    exitCode = Program.FAILURE;
                }
            }
            return exitCode;
        }
    }

    /** The command {@code package key}. */
    @Command(
            name = "key",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Generates the Ed25519 key pair of a publisher: FILE (private) and FILE.pub (public).")
    static final class Key implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "Private key file to write; must not exist.")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Keys.generate(file);
            System.out.println(file + " and " + file + ".pub");
            return Program.OK;
        }
    }
}
