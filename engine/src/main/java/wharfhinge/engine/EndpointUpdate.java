package wharfhinge.engine;

import java.util.List;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;

/** A change of the endpoint list, or the full list; {@code entries} is empty in mode rejected. Immutable. */
public record EndpointUpdate(EndpointUpdateMode mode, long revision, List<RosterEntry> entries) {}
