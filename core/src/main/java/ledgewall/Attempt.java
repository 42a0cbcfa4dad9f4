package ledgewall;

/** An attempt: a request sent to a member at {@code sentAt}, in nanoseconds. {@code number} counts its request's from 0. */
record Attempt(Request request, int number, Member member, long sentAt) { }
