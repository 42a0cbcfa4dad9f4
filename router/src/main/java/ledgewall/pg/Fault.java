package ledgewall.pg;

/** Reads ErrorResponse messages. */
final class Fault {
    private Fault() {
    }

    static String sqlState(Frame frame) throws ProtocolException {
        Frame.Body body = frame.body();
        String code = null;
        for (int type = body.int8(); type != 0; type = body.int8()) {
            String value = body.string();
            code = type == 'C' ? value : code;
        }
        if (code == null) {
            throw new ProtocolException("an error without a code");
        }
        return code;
    }
}
