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
import javax.xml.stream.Location;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Loads an XML file, validates it against a schema and reports all faults at once, each with its position. Document type definitions
 * and external entities are disabled, so that a file can neither read other files nor expand while it is parsed.
 */
public final class XmlFile {
    private static final long MAX_BYTES = 4L << 20;

    private XmlFile() {}

    /** Receives the faults that a check across fields finds: the element that holds the field, and the text of the fault. */
    public interface FaultListener extends BiConsumer<Object, String> {}

    /** A check across the fields of a file that is valid by its schema. */
    public interface Check<T> {
        /** Reports each fault to {@code faults}. */
        void check(T root, FaultListener faults);
    }

    /**
     * Loads a file.
     *
     * @param schema the XSD
     * @param type   the annotated class of the root element
     * @param check  checks rules that the schema cannot express; run only if the file is valid by the schema
     * @throws InvalidConfigurationException with every fault
     */
    public static <T> T load(Path file, URL schema, Class<T> type, Check<T> check)
            throws InvalidConfigurationException {
        byte[] bytes = read(file);
        throwIfAny(file, SchemaValidator.validate(bytes, schema));
        Map<Object, Location> locations = new IdentityHashMap<>();
        T root = bind(file, bytes, type, locations);
        List<Fault> faults = new ArrayList<>();
        check.check(root, (element, text) -> faults.add(faultAt(locations.get(element), text)));
        throwIfAny(file, faults);
        return root;
    }

    private static byte[] read(Path file) throws InvalidConfigurationException {
        try {
            long size = Files.size(file);
            if (size > MAX_BYTES) {
                throw new InvalidConfigurationException(
                        file,
                        List.of(Fault.withoutPosition("found " + size + " bytes, allowed: at most " + MAX_BYTES)));
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidConfigurationException(file, List.of(Fault.withoutPosition("can't be read: " + e)), e);
        }
    }

    /** Unmarshals a file and records the location of each object's element. */
    private static <T> T bind(Path file, byte[] bytes, Class<T> type, Map<Object, Location> locations)
            throws InvalidConfigurationException {
        try {
            XMLStreamReader reader = newReader(bytes);
            Unmarshaller unmarshaller = JAXBContext.newInstance(type).createUnmarshaller();
            unmarshaller.setListener(new Unmarshaller.Listener() {
                @Override
                public void beforeUnmarshal(Object target, Object parent) {
                    locations.put(target, reader.getLocation());
                }
            });
            return unmarshaller.unmarshal(reader, type).getValue();
        } catch (JAXBException | XMLStreamException e) {
            throw new InvalidConfigurationException(
                    file, List.of(Fault.withoutPosition("can't be unmarshalled: " + e)), e);
        }
    }

    /** Creates a reader with document type definitions and external entities disabled. */
    static XMLStreamReader newReader(byte[] bytes) throws XMLStreamException {
        XMLInputFactory factory = XMLInputFactory.newDefaultFactory();
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        return factory.createXMLStreamReader(new ByteArrayInputStream(bytes));
    }

    /** A fault at a location, which is null for an element that is absent from the file and has its default. */
    static Fault faultAt(Location location, String text) {
        return location == null
                ? Fault.withoutPosition(text)
                : new Fault(location.getLineNumber(), location.getColumnNumber(), text);
    }

    private static void throwIfAny(Path file, List<Fault> faults) throws InvalidConfigurationException {
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(file, faults);
        }
    }
}
