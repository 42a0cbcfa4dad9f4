package ledgewall.pg;

/** Reads ErrorResponse messages. */
final class ErrorResponse {
    private ErrorResponse() {
    }

    /** The SQLSTATE of an ErrorResponse, its field {@code C}. */
    static String sqlState(Frame frame) throws ProtocolException {
        Frame.BodyReader body = frame.body();
        String sqlState = null;
        for (int fieldType = body.int8(); fieldType != 0; fieldType = body.int8()) {
            String value = body.cString();
            sqlState = fieldType == 'C' ? value : sqlState;
        }
        if (sqlState == null) {
            throw new ProtocolException("ErrorResponse without an SQLSTATE");
        }
        return sqlState;
    }
}
