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

/** Configures logging: plain or JSON lines on standard output, written by a background thread. */
final class Logs {
    private static final int QUEUE_SIZE = 8192;

    private Logs() {}

    /** Configures logging by the settings. Events that do not fit into the queue of the writer are dropped; logging never blocks. */
    static void configure(GatewayConfig.Log settings) {
        configure(settings.json(), settings.level());
    }

    /** Configures logging with JSON or plain lines, at the given level and above. */
    static void configure(boolean json, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(json ? jsonEncoder(context) : plainEncoder(context));
        console.setImmediateFlush(true);
        console.start();
        AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setQueueSize(QUEUE_SIZE);
        async.setNeverBlock(true);
        async.setMaxFlushTime(1000);
        async.addAppender(console);
        async.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level));
        root.addAppender(async);
        context.getLogger("io.netty").setLevel(Level.WARN);
    }

    /** Restricts a logger to warnings and errors. */
    static void warningsOnly(String logger) {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger(logger).setLevel(Level.WARN);
    }

    /** Writes the queued events and stops logging. */
    static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> plainEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0} %msg %kvp%n");
        encoder.start();
        return encoder;
    }
}
