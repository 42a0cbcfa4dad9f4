package ledgewall.net;

/** The components that all parts of one router share. */
record RouterContext(Clock clock, EventLoop loop, Transport transport, DescriptorBudget descriptors, Counters counters,
                     BufferedBytes bufferedBytes, IdleConnections idleConnections, long connectTimeoutNanos) { }
