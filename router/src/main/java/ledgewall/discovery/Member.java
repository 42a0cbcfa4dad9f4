package ledgewall.discovery;

/**
 * An entry of the list, in discovery's own words.
 *
 * @param id the same for every router
 * @param address where this router reaches it
 * @param upSinceMillis Unix time of its last start, 0 for long ago
 */
public record Member(String id, String address, String locality, String flavor, long cell, Phase phase, double size,
                     boolean primary, long upSinceMillis) {
    /** What a member is up to. */
    public enum Phase { READY, TERMINATING, GONE }
}
