package ledgewall.settings;

import java.util.List;

/** The names behind the indexes that the policy uses for classes, tenants, zones and kinds of machine. */
public record Vocabulary(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) { }
