package wharfhinge.config;

import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.util.ArrayList;
import java.util.List;
import javax.xml.XMLConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import javax.xml.transform.stax.StAXSource;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.SchemaFactory;
import javax.xml.validation.Validator;
import org.xml.sax.ErrorHandler;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/** Validates XML against a schema and collects all faults instead of stopping at the first. */
final class SchemaValidator {
    private SchemaValidator() {}

    /** All faults of a file; empty where it is valid. */
    static List<Fault> validate(byte[] bytes, URL schema) {
        FaultCollector collector = new FaultCollector();
        try {
            checkWellFormed(bytes); // first, since the validator does not report the position of a syntax error
            Validator validator = newValidator(schema);
            validator.setErrorHandler(collector);
            validator.validate(new StAXSource(XmlFile.newReader(bytes)));
        } catch (XMLStreamException e) {
            collector.faults.add(XmlFile.faultAt(e.getLocation(), "not well formed: " + lastLine(e.getMessage())));
        } catch (SAXException | IOException e) {
            if (collector.faults.isEmpty()) {
                collector.faults.add(Fault.withoutPosition(e.getMessage()));
            }
        }
        return collector.faults;
    }

    private static void checkWellFormed(byte[] bytes) throws XMLStreamException {
        XMLStreamReader reader = XmlFile.newReader(bytes);
        while (reader.hasNext()) {
            reader.next();
        }
    }

    private static Validator newValidator(URL schema) throws SAXException, IOException {
        SchemaFactory factory = SchemaFactory.newDefaultInstance();
        factory.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
        factory.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
        try (InputStream source = schema.openStream()) {
            Validator validator = factory.newSchema(new StreamSource(source)).newValidator();
            validator.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
            validator.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
            return validator;
        }
    }

    private static String lastLine(String message) {
        String[] lines = message.split("\n");
        return lines[lines.length - 1].replaceFirst("^Message: ", "");
    }

    private static final class FaultCollector implements ErrorHandler {
        private final List<Fault> faults = new ArrayList<>();

        @Override
        public void warning(SAXParseException e) {
            error(e);
        }

        @Override
        public void error(SAXParseException e) {
            Fault fault = SchemaFault.of(e);
            boolean isRepeated = SchemaFault.repeatsEarlierFault(e)
                    && faults.stream().anyMatch(known -> known.isAtPositionOf(fault));
            if (!isRepeated) {
                faults.add(fault);
            }
        }

        @Override
        public void fatalError(SAXParseException e) {
            error(e);
        }
    }
}
