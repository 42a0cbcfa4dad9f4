package ledgewall.discovery;

import java.util.List;

/** The whole list, or what has changed in it. */
public record ListUpdate(long revision, boolean complete, List<Member> members) { }
