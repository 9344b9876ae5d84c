package wharfhinge.engine;

import java.util.List;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;

/** News of the fleet, in the words of the decisions' interface; {@code entries} is empty where it was refused. */
public record EndpointUpdate(EndpointUpdateMode mode, long revision, List<RosterEntry> entries) {}
