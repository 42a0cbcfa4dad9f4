package ledgewall.pg;

/** Rejects a client's message of an unknown type as soon as its header is read, without waiting for the announced body. */
final class ClientHeaderValidator implements FrameReader.HeaderValidator {
    private static final String KNOWN_TYPES = "QXSPBDECHdcfF";

    @Override
    public void validate(char type, int bodyLength) throws ProtocolException {
        if (KNOWN_TYPES.indexOf(type) < 0) {
            throw new ProtocolException("unknown message type " + (int) type);
        }
    }
}
