package org.baobabcart.router.platform;

/** The cause of a failed watch whose source, another router, could not reach the platform for a while. */
public final class ReportedOutageException extends RuntimeException {
    /** Creates an exception without a stack trace, which would tell nothing. */
    public ReportedOutageException() {
        super("another router has seen an outage", null, false, false);
    }
}
