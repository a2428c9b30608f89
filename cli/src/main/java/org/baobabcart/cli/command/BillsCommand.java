package org.baobabcart.cli.command;

import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.output.Table;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.request.Bill;
import org.baobabcart.router.bill.BillReader;
import org.baobabcart.router.platform.ObjectStore;

/** {@code bills}: lists the bills stored in the platform, one per request. */
public final class BillsCommand implements Command {
    private static final Flag REQUEST = Flag.of("--request", "show only the bill of this request");

    @Override
    public List<String> words() {
        return List.of("bills");
    }

    @Override
    public String help() {
        return "list the bills stored in the platform, one per request";
    }

    @Override
    public List<Flag> flags() {
        return List.of(REQUEST, CommonFlags.PLATFORM, CommonFlags.JSON);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Optional<String> request = arguments.optional(REQUEST);
        List<Bill> bills = read(PlatformObjects.store(arguments, context)).stream()
                .filter(bill -> request.isEmpty() || bill.requestId().equals(request.get()))
                .toList();
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(bills);
        } else {
            Table table = Table.of("REQUEST", "WORKSPACE", "MODEL", "VERSION", "UNITS");
            bills.forEach(
                    bill -> table.row(bill.requestId(), bill.workspace(), bill.model(), bill.version(), bill.units()));
            context.output().table(table);
        }
        return request.isPresent() && bills.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }

    /** Returns all bills stored in the platform, one per request. */
    public static List<Bill> read(ObjectStore store) {
        return PlatformObjects.await(BillReader.create(store).ledger()).bills();
    }
}
