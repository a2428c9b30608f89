package org.baobabcart.cli;

import java.util.function.Function;
import org.baobabcart.cli.fleet.AdminClient;
import org.baobabcart.cli.fleet.PollClock;
import org.baobabcart.cli.output.Output;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Dependencies of commands; tests replace them with fakes. Immutable.
 *
 * @param output the destination of results and messages
 * @param admin the client for admin ports and for the list of VMs
 * @param stores creates the object store client for a platform address
 * @param clock the clock for polling
 */
public record CommandContext(Output output, AdminClient admin, Function<String, ObjectStore> stores, PollClock clock) {}
