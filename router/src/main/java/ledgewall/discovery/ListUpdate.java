package ledgewall.discovery;

import java.util.List;

/**
 * A message from discovery: the full member list, or the entries that changed.
 *
 * @param revision the revision of the list after this update
 * @param complete whether {@code members} is the full list, which replaces every entry known before
 * @param members the entries, or only those that changed since an earlier revision
 */
public record ListUpdate(long revision, boolean complete, List<Member> members) { }
