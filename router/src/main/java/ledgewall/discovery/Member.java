package ledgewall.discovery;

/**
 * An entry of the member list, with the field names of the discovery API.
 *
 * @param id identifier of the member, the same for every router
 * @param address host and port at which this router reaches the member; may be empty in an entry that is gone
 * @param locality name of the member's zone
 * @param flavor name of the kind of machine
 * @param cell number of the group that the member belongs to
 * @param size relative capacity; 1 if discovery does not state it
 * @param primary whether discovery lists the member as read-write
 * @param upSinceMillis Unix time of the last start in milliseconds; 0 if it started long ago
 */
public record Member(String id, String address, String locality, String flavor, long cell, Phase phase, double size,
                     boolean primary, long upSinceMillis) {
    /** Lifecycle phase of a member, as discovery states it. */
    public enum Phase { READY, TERMINATING, GONE }
}
