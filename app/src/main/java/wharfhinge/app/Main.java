package wharfhinge.app;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import wharfhinge.app.drill.DrillCommand;
import wharfhinge.app.drill.DrillGatewayCommand;
import wharfhinge.app.measure.MeasureCommand;

/** The command line. Exit codes: 0 success, 1 failure or invalid input, 2 wrong usage. */
@Command(
        name = "wharfhinge",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "A gateway that dispatches calls to workers which load functions on demand.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ServeCommand.class,
            PlatformCommand.class,
            CheckCommand.class,
            WorkerCommand.class,
            StoreCommand.class,
            PackageCommand.class,
            ReplayCommand.class,
            StandInCommand.class,
            DrillCommand.class,
            DrillGatewayCommand.class,
            MeasureCommand.class,
            LabCommand.class
        })
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command");
    }

    /** Runs a command and exits with its code. */
    public static void main(String[] args) throws InterruptedException {
        if (args.length == 1 && args[0].equals("platform")) {
            System.exit(
                    PlatformCommand
                            .serve()); // installs its signal handlers first: parsing the command line is slow on a
            // fraction of a core
        }
        System.exit(commandLine().execute(args));
    }

    /** Creates the command line; tests use it too. */
    static CommandLine commandLine() {
        return new CommandLine(new Main()).setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("wharfhinge: " + (e.getMessage() == null ? e : e.getMessage()));
            return Program.FAILURE;
        });
    }
}
