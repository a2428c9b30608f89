package org.baobabcart.cli;

import java.util.function.Function;
import org.baobabcart.cli.fleet.AdminClient;
import org.baobabcart.cli.fleet.Pauses;
import org.baobabcart.cli.output.Output;
import org.baobabcart.router.platform.ObjectStore;

/**
 * What commands work with; tests replace each part by a fake. Immutable.
 *
 * @param output where results and messages go
 * @param admin calls to admin ports and to the list of VMs
 * @param stores makes access to the platform at an address
 * @param pauses time between polls
 */
public record CommandContext(Output output, AdminClient admin, Function<String, ObjectStore> stores, Pauses pauses) {}
