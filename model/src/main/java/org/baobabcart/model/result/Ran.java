package org.baobabcart.model.result;

/** Whether a request that was not answered may have reached an upstream. */
public enum Ran {
    /** No upstream received any byte of the request. */
    NO("no"),
    /** An upstream may have received the request. */
    UNKNOWN("unknown");

    private final String text;

    Ran(String text) {
        this.text = text;
    }

    /** The word used in error bodies. */
    public String text() {
        return text;
    }
}
