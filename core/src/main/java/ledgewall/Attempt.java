package ledgewall;

/** One sending of a request to a member, at {@code sentAt} nanoseconds. */
record Attempt(Request request, int number, Member member, long sentAt) { }
