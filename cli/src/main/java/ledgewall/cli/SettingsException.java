package ledgewall.cli;

/** Settings that are not accepted; the message says where and what would be right. */
final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }
}
