package ledgewall.expression;

import java.util.Arrays;

/** Bytes as a value: compared by what they hold, and never changed. */
public final class Bytes implements Comparable<Bytes> {
    private final byte[] held;

    private Bytes(byte[] held) {
        this.held = held;
    }

    public static Bytes of(byte[] bytes) {
        return new Bytes(bytes.clone());
    }

    /** Takes over an array that nobody else changes. */
    static Bytes wrap(byte[] bytes) {
        return new Bytes(bytes);
    }

    public int size() {
        return held.length;
    }

    byte[] array() {
        return held;
    }

    @Override
    public int compareTo(Bytes other) {
        return Arrays.compareUnsigned(held, other.held);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes bytes && Arrays.equals(held, bytes.held);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(held);
    }

    @Override
    public String toString() {
        return "bytes of " + held.length;
    }
}
