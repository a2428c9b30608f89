package org.baobabcart.model.result;

/** Whether an upstream may have received a request that failed: the {@code ran} field of error responses. */
public enum Ran {
    /** No upstream received any byte of the request. */
    NO("no"),
    /** An upstream may have received the request. */
    UNKNOWN("unknown");

    private final String text;

    Ran(String text) {
        this.text = text;
    }

    /** Returns the value in error responses. */
    public String text() {
        return text;
    }
}
