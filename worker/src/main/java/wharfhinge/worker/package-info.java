/**
 * The project's own worker runtime: fetches signed packages, holds copies in real memory, runs calls on them and keeps honest
 * books. {@code docs/design/worker.md} weighs it, {@code docs/protocol-worker.md} is what it speaks.
 */
@XmlSchema(namespace = "urn:wharfhinge:worker:1", elementFormDefault = XmlNsForm.QUALIFIED)
package wharfhinge.worker;

import jakarta.xml.bind.annotation.XmlNsForm;
import jakarta.xml.bind.annotation.XmlSchema;
