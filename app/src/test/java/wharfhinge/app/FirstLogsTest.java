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
    void warningsGoToStandardErrorWithoutAnyXml() {
        LoggerContext context = new LoggerContext();
        new StartupLogConfigurator().configure(context);
        var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        assertEquals(Level.WARN, root.getLevel());
        Iterator<Appender<ILoggingEvent>> all = root.iteratorForAppenders();
        assertEquals("System.err", ((ConsoleAppender<ILoggingEvent>) all.next()).getTarget());
        assertNull(
                StartupLogConfigurator.class.getResource("/logback.xml"),
                "is read before anything else where it is there");
    }
}
