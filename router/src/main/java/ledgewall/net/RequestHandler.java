package ledgewall.net;

import ledgewall.pg.Statement;

/** Admits clients' connections and handles their requests. */
interface RequestHandler {
    /** The client of a connection, as far as it is known; fields that are not known are empty. */
    record ClientIdentity(String user, String database, String address) { }

    /** Whether a new connection is admitted. */
    enum Admission {
        /** Its requests are accepted. */
        SERVED,
        /** There is no capacity for its requests: each is refused, and the connection ends after the first. */
        REFUSED
    }

    /** Registers a new connection and returns whether it is admitted. */
    Admission admit(ClientConnection connection);

    /** Refuses a request that is not going to be submitted. */
    void refuse(ClientConnection.AnswerSlot slot);

    /** Answers a submitted request at once if it is unanswered: as refused if nothing of it was sent, else as failed. */
    void giveUp(ClientRequest request);

    /** Handles a request that was received at {@code receivedAt}; its answer goes to the slot. */
    ClientRequest submit(Statement statement, ClientConnection.AnswerSlot slot, long receivedAt, ClientIdentity client);

    /** Whether statements without a routing comment are accepted; never changes while the router runs. */
    boolean acceptsUncommentedStatements();

    /** The client of this request has disconnected, or its connection has failed. */
    void requestAbandoned(ClientRequest request);

    /** A connection has closed. */
    void connectionClosed(ClientConnection connection);

    /** A complete command has been received. */
    void commandReceived(ClientConnection connection);

    /** Every command of the connection has been answered. */
    void connectionIdle(ClientConnection connection);
}
