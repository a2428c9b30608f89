package org.baobabcart.bench;

/** The ways in which a version turns bad. */
enum VersionFault {
    /** Answers come as fast as before and are wrong. */
    WRONG("wrong answers", "{\"bad-quality\":true}"),
    /** Answers are right and take far longer. */
    SLOW("slow", "{\"slow\":20}"),
    /** Each request ends the process of its engine. */
    CRASHING("crashing", "{\"crash-on\":\"prompt\"}");

    private final String text;
    private final String faults;

    VersionFault(String text, String faults) {
        this.text = text;
        this.faults = faults;
    }

    /** The name in figures. */
    String text() {
        return text;
    }

    /** The faults to set at an engine of the version, as JSON. */
    String faults() {
        return faults;
    }
}
