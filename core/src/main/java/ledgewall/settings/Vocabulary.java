package ledgewall.settings;

import java.util.List;

/** Names by the index that the policy knows them by. */
public record Vocabulary(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) { }
