package wharfhinge.app;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import wharfhinge.app.drill.DrillCommand;
import wharfhinge.app.drill.DrillGatewayCommand;
import wharfhinge.app.measure.MeasureCommand;

/** The command line. Exit codes: 0 done, 1 found wanting, 2 used wrongly. */
@Command(
        name = "wharfhinge",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "A gateway for calls on workers that load functions on demand.",
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
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Runs a command and exits with its code. */
    public static void main(String[] args) throws InterruptedException {
        if (args.length == 1 && args[0].equals("platform")) {
            System.exit(
                    PlatformCommand
                            .serve()); // takes signals first: reading the command line takes a while on part of a core
        }
        System.exit(commandLine().execute(args));
    }

    /** The command line, as tests use it too. */
    static CommandLine commandLine() {
        return new CommandLine(new Main()).setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("wharfhinge: " + (e.getMessage() == null ? e : e.getMessage()));
            return Program.WANTING;
        });
    }
}
