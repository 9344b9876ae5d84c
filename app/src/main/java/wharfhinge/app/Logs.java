package wharfhinge.app;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;
import wharfhinge.config.GatewayConfig;

/** Sets up logs: plain lines or JSON lines on standard output, written by a thread of their own. */
final class Logs {
    private static final int WAITING = 8192;

    private Logs() {}

    /** From here on logs go where the settings say; what the writer can't keep up with is left out, never waited for. */
    static void set(GatewayConfig.Log settings) {
        set(settings.json(), settings.level());
    }

    /** The same with JSON or plain lines, from a level on. */
    static void set(boolean json, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(json ? json(context) : plain(context));
        console.setImmediateFlush(true);
        console.start();
        AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setQueueSize(WAITING);
        async.setNeverBlock(true);
        async.setMaxFlushTime(1000);
        async.addAppender(console);
        async.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level));
        root.addAppender(async);
        context.getLogger("io.netty").setLevel(Level.WARN);
    }

    /** Of one logger only warnings from here on. */
    static void quiet(String logger) {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger(logger).setLevel(Level.WARN);
    }

    /** Writes what still waits. */
    static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> plain(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0} %msg %kvp%n");
        encoder.start();
        return encoder;
    }
}
