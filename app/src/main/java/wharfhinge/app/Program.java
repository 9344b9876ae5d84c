package wharfhinge.app;

import picocli.CommandLine.IVersionProvider;

/** Exit codes, main class and version, which all commands share. */
public final class Program {
    /** Exit code: success. */
    public static final int OK = 0;
    /** Exit code: the command failed, or what it checked is invalid. */
    public static final int FAILURE = 1;
    /** Exit code: the command line is wrong. */
    public static final int USAGE = 2;
    /** Main class with which processes of this program are started. */
    public static final String MAIN = "wharfhinge.app.Main";

    private Program() {}

    /** Reads the version that the build wrote into the jar. */
    public static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Program.class.getPackage().getImplementationVersion();
            return new String[] {"wharfhinge " + (version == null ? "(not built as a jar)" : version)};
        }
    }
}
