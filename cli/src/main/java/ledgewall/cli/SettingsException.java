package ledgewall.cli;

/** Reports an invalid setting or argument. The message names its location and what is expected. */
final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }
}
