package wharfhinge.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import java.util.Iterator;
import org.junit.jupiter.api.Test;

class FirstLogsTest {
    @Test
    void warnings_goToStandardErrorWithoutXml() {
        LoggerContext context = new LoggerContext();
        new StartupLogConfigurator().configure(context);
        var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        assertEquals(Level.WARN, root.getLevel());
        Iterator<Appender<ILoggingEvent>> appenders = root.iteratorForAppenders();
        assertEquals("System.err", ((ConsoleAppender<ILoggingEvent>) appenders.next()).getTarget());
        assertNull(
                StartupLogConfigurator.class.getResource("/logback.xml"),
                "a logback.xml on the class path would take precedence over the configurator");
    }
}
