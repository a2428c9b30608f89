package org.baobabcart.cli;

import org.baobabcart.model.result.ResultCode;

/** Exit codes of the commands. {@code docs/CLI.md} lists them with the same meanings. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "The command did all that was asked"),
    /** The request was rejected, or the checked condition is false. */
    FAILED(1, "What was asked for was refused or does not hold"),
    /** The command line, a setting or a file is invalid; nothing was changed. */
    USAGE(2, "The command line, a setting or a file is wrong; nothing was changed"),
    /** The platform is unreachable, or no router is reachable. */
    UNREACHABLE(3, "The platform or no router could be reached"),
    /** The change was accepted, but not all live routers have applied it yet. */
    INCOMPLETE(4, "The change was accepted but is not in force everywhere yet");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /** Returns the exit status of the process. */
    public int status() {
        return status;
    }

    /** Returns the meaning as listed in {@code docs/CLI.md}. */
    public String meaning() {
        return meaning;
    }

    /** Returns the exit code of a command that failed with a result code. */
    public static ExitCode of(ResultCode code) {
        return switch (code) {
            case BAD_SETTING, SHEET_INVALID, BAD_REQUEST -> USAGE;
            case PLATFORM_UNAVAILABLE, UPSTREAM_UNREACHABLE -> UNREACHABLE;
            case COMMAND_TIMEOUT -> INCOMPLETE;
            default -> FAILED;
        };
    }
}
