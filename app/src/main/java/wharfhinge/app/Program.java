package wharfhinge.app;

import picocli.CommandLine.IVersionProvider;

/** What all commands share. */
public final class Program {
    /** Exit code: done. */
    public static final int OK = 0;
    /** Exit code: what was looked at is not as it should be. */
    public static final int WANTING = 1;
    /** Exit code: the command line is wrong. */
    public static final int USAGE = 2;
    /** The class to start a process of this program with. */
    public static final String MAIN = "wharfhinge.app.Main";

    private Program() {}

    /** The version that the build wrote into the jar. */
    public static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Program.class.getPackage().getImplementationVersion();
            return new String[] {"wharfhinge " + (version == null ? "(not built as a jar)" : version)};
        }
    }
}
