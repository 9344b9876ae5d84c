/**
 * Scripted peers of a gateway: workers, store, roster and clients that only play figures, the troubles that befall them,
 * and a record of what they saw on their sockets. Nothing here uses code of the gateway.
 */
@XmlSchema(namespace = "urn:wharfhinge:scenario:1", elementFormDefault = XmlNsForm.QUALIFIED)
package wharfhinge.standin;

import jakarta.xml.bind.annotation.XmlNsForm;
import jakarta.xml.bind.annotation.XmlSchema;
