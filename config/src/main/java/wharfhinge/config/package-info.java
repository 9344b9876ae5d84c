/** The settings file: its schema, its loading, the checks across fields and the mapping to the decisions' settings. */
@XmlSchema(namespace = "urn:wharfhinge:settings:1", elementFormDefault = XmlNsForm.QUALIFIED)
package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlNsForm;
import jakarta.xml.bind.annotation.XmlSchema;
