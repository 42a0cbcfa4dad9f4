package ledgewall.net;

/** What every part of one router shares. */
record Wiring(EventLoop loop, Transport transport, Descriptors descriptors, Counters counters,
              long connectTimeout, long connIdle) { }
