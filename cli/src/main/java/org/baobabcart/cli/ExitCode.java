package org.baobabcart.cli;

import org.baobabcart.model.result.ResultCode;

/** Exit codes of all commands; {@code docs/CLI.md} lists the same entries. */
public enum ExitCode {
    /** The command did all that was asked. */
    OK(0, "The command did all that was asked"),
    /** What was asked for was refused or does not hold. */
    FAILED(1, "What was asked for was refused or does not hold"),
    /** The command line, a setting or a file is wrong; nothing was changed. */
    USAGE(2, "The command line, a setting or a file is wrong; nothing was changed"),
    /** The platform or no router could be reached. */
    UNREACHABLE(3, "The platform or no router could be reached"),
    /** The change was accepted but is not in force everywhere yet. */
    INCOMPLETE(4, "The change was accepted but is not in force everywhere yet");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /** The status of the process. */
    public int status() {
        return status;
    }

    /** What it means, for the documents. */
    public String meaning() {
        return meaning;
    }

    /** The exit code of a command that ended with a failure of this code. */
    public static ExitCode of(ResultCode code) {
        return switch (code) {
            case BAD_SETTING, SHEET_INVALID, BAD_REQUEST -> USAGE;
            case PLATFORM_UNAVAILABLE, UPSTREAM_UNREACHABLE -> UNREACHABLE;
            case COMMAND_TIMEOUT -> INCOMPLETE;
            default -> FAILED;
        };
    }
}
