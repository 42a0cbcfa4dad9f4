package ledgewall.expression;

import java.util.Arrays;

/** An immutable byte string, compared by content: the Java type of the language's bytes. */
public final class Bytes implements Comparable<Bytes> {
    private final byte[] content;

    private Bytes(byte[] content) {
        this.content = content;
    }

    public static Bytes of(byte[] bytes) {
        return new Bytes(bytes.clone());
    }

    /** Wraps an array without copying it; the caller must not modify it afterwards. */
    static Bytes wrap(byte[] bytes) {
        return new Bytes(bytes);
    }

    public int size() {
        return content.length;
    }

    /** The content itself, not a copy; callers must not modify it. */
    byte[] array() {
        return content;
    }

    @Override
    public int compareTo(Bytes other) {
        return Arrays.compareUnsigned(content, other.content);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes bytes && Arrays.equals(content, bytes.content);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(content);
    }

    @Override
    public String toString() {
        return "bytes of " + content.length;
    }
}
