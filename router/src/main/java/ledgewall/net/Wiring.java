package ledgewall.net;

/** What every part of one router shares. */
record Wiring(Clock clock, EventLoop loop, Transport transport, DescriptorBudget descriptors, Counters counters,
              BufferedBytes held, IdleConnections idle, long connectTimeout) { }
