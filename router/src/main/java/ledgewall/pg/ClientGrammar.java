package ledgewall.pg;

/** What a client may say once it has started: a type that is none is met at its header, not at its announced end. */
final class ClientGrammar implements FrameReader.HeaderCheck {
    private static final String TYPES = "QXSPBDECHdcfF";

    @Override
    public void check(char type, int bodyLength) throws ProtocolException {
        if (TYPES.indexOf(type) < 0) {
            throw new ProtocolException("unknown message type " + (int) type);
        }
    }
}
