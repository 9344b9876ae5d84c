package wharfhinge.config;

import jakarta.xml.bind.JAXBContext;
import jakarta.xml.bind.JAXBException;
import jakarta.xml.bind.Unmarshaller;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import javax.xml.XMLConstants;
import javax.xml.stream.Location;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import javax.xml.transform.stax.StAXSource;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.Schema;
import javax.xml.validation.SchemaFactory;
import javax.xml.validation.Validator;
import org.xml.sax.ErrorHandler;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/**
 * Reads an XML file against a schema: all that is wrong is told at once, with its place. Document types and external
 * entities are off, so that a file can neither reach other files nor grow while it is read.
 */
public final class XmlFile {
    private static final long MOST_BYTES = 4L << 20;

    private XmlFile() {}

    /** Collects what a check across fields finds, at the place of the element that holds the field. */
    public interface Faults extends BiConsumer<Object, String> {}

    /** A check across the fields of what was read. */
    public interface Check<T> {
        /** Tells each fault to {@code faults}. */
        void check(T root, Faults faults);
    }

    /**
     * Loads a file.
     *
     * @param schema the XSD
     * @param type   the annotated class of the root element
     * @param check  what the schema can't say; run only where the file is valid
     * @throws InvalidFileException with every fault
     */
    public static <T> T load(Path file, URL schema, Class<T> type, Check<T> check) throws InvalidFileException {
        byte[] bytes = read(file);
        List<Fault> faults = validate(bytes, schema);
        if (!faults.isEmpty()) {
            throw new InvalidFileException(file, faults);
        }
        Map<Object, Location> places = new IdentityHashMap<>();
        T root;
        try {
            XMLStreamReader reader = reader(bytes);
            Unmarshaller unmarshaller = JAXBContext.newInstance(type).createUnmarshaller();
            unmarshaller.setListener(new Unmarshaller.Listener() {
                @Override
                public void beforeUnmarshal(Object target, Object parent) {
                    places.put(target, reader.getLocation());
                }
            });
            root = unmarshaller.unmarshal(reader, type).getValue();
        } catch (JAXBException | XMLStreamException e) {
            throw new InvalidFileException(file, List.of(new Fault(0, 0, "not bound: " + e)));
        }
        check.check(root, (element, text) -> {
            Location place = places.get(element);
            faults.add(
                    place == null
                            ? new Fault(0, 0, text)
                            : new Fault(place.getLineNumber(), place.getColumnNumber(), text));
        });
        if (!faults.isEmpty()) {
            throw new InvalidFileException(file, faults);
        }
        return root;
    }

    private static byte[] read(Path file) throws InvalidFileException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new InvalidFileException(
                        file, List.of(new Fault(0, 0, "found " + Files.size(file) + " bytes, allowed: " + MOST_BYTES)));
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidFileException(file, List.of(new Fault(0, 0, "can't be read: " + e)));
        }
    }

    private static XMLStreamReader reader(byte[] bytes) throws XMLStreamException {
        XMLInputFactory factory = XMLInputFactory.newDefaultFactory();
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        return factory.createXMLStreamReader(new ByteArrayInputStream(bytes));
    }

    private static List<Fault> validate(byte[] bytes, URL schemaUrl) {
        List<Fault> faults = new ArrayList<>();
        try {
            for (XMLStreamReader whole = reader(bytes); whole.hasNext(); ) {
                whole.next(); // to the end first: the validator would hide where a file is broken
            }
            SchemaFactory factory = SchemaFactory.newDefaultInstance();
            factory.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
            factory.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
            Schema schema = factory.newSchema(new StreamSource(schemaUrl.openStream()));
            Validator validator = schema.newValidator();
            validator.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
            validator.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
            validator.setErrorHandler(collector(faults));
            validator.validate(new StAXSource(reader(bytes)));
        } catch (XMLStreamException e) {
            Location at = e.getLocation();
            faults.add(new Fault(
                    at == null ? 0 : at.getLineNumber(),
                    at == null ? 0 : at.getColumnNumber(),
                    "not well formed: " + firstLine(e.getMessage())));
        } catch (SAXException | IOException e) {
            if (faults.isEmpty()) {
                faults.add(new Fault(0, 0, e.getMessage()));
            }
        }
        return faults;
    }

    private static ErrorHandler collector(List<Fault> faults) {
        return new ErrorHandler() {
            @Override
            public void warning(SAXParseException e) {
                error(e);
            }

            @Override
            public void error(SAXParseException e) {
                Fault fault = SchemaFault.of(e);
                boolean second = faults.stream()
                        .anyMatch(f ->
                                f.line() == fault.line() && f.column() == fault.column() && SchemaFault.saysTheSame(e));
                if (!second) {
                    faults.add(fault);
                }
            }

            @Override
            public void fatalError(SAXParseException e) {
                error(e);
            }
        };
    }

    private static String firstLine(String text) {
        String[] lines = text.split("\n");
        return lines[lines.length - 1].replaceFirst("^Message: ", "");
    }
}
