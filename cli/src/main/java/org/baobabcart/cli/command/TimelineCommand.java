package org.baobabcart.cli.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.fleet.FleetRouter;
import org.baobabcart.cli.output.Table;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.timeline.EventType;

/** {@code timeline}: shows the events of all routers in a single order. */
final class TimelineCommand implements Command {
    private static final Flag REQUEST = Flag.of("--request", "show only the events of this request");
    private static final Flag SHEET = Flag.of("--sheet", "show only the events of this sheet generation");
    private static final Flag SINCE = Flag.of("--since", "show only the events of the last seconds, such as 60");
    private static final Flag TYPE = Flag.of("--type", "show only events of this type, such as REQUEST_RETRIED");
    private static final long MAX_SECONDS = 86_400;
    private static final long MILLIS_PER_SECOND = 1_000;

    @Override
    public List<String> words() {
        return List.of("timeline");
    }

    @Override
    public String help() {
        return "show the events of all routers in a single order";
    }

    @Override
    public List<Flag> flags() {
        return Flags.with(CommonFlags.fleet(), REQUEST, SHEET, SINCE, TYPE);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        String query = query(arguments);
        List<FleetRouter> routers =
                PlatformObjects.finder(arguments, context).find().responding();
        List<TimelineEvents> responses = routers.stream()
                .map(router -> events(router, query, context))
                .flatMap(Optional::stream)
                .toList();
        List<TimelineEvent> merged = TimelineEvents.merge(responses);
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(merged);
        } else {
            context.output().table(table(merged));
        }
        return responses.size() == routers.size() ? ExitCode.OK : ExitCode.INCOMPLETE;
    }

    private static Optional<TimelineEvents> events(FleetRouter router, String query, CommandContext context) {
        try {
            return Optional.of(PlatformObjects.convert(
                    PlatformObjects.await(context.admin().get(router.adminAddress(), "/timeline" + query)),
                    TimelineEvents.class));
        } catch (BaobabcartException exception) {
            context.output().note(router.name() + ": no events: " + exception.getMessage());
            return Optional.empty();
        }
    }

    private static String query(Arguments arguments) {
        StringBuilder query = new StringBuilder();
        arguments.optional(REQUEST).ifPresent(value -> append(query, "request", value));
        if (arguments.optional(SHEET).isPresent()) {
            append(query, "sheet", Long.toString(arguments.number(SHEET, 1, Long.MAX_VALUE)));
        }
        if (arguments.optional(SINCE).isPresent()) {
            long since = System.currentTimeMillis() - MILLIS_PER_SECOND * arguments.number(SINCE, 1, MAX_SECONDS);
            append(query, "since", Long.toString(since));
        }
        arguments.optional(TYPE).ifPresent(value -> append(query, "type", checkedType(value)));
        return query.toString();
    }

    private static String checkedType(String value) {
        return Arrays.stream(EventType.values())
                .map(EventType::name)
                .filter(value::equals)
                .findFirst()
                .orElseThrow(
                        () -> Arguments.invalidValue(TYPE, value, "one of " + Arrays.toString(EventType.values())));
    }

    private static void append(StringBuilder query, String name, String value) {
        query.append(query.isEmpty() ? '?' : '&');
        query.append(name).append('=').append(URLEncoder.encode(value, StandardCharsets.UTF_8));
    }

    private static Table table(List<TimelineEvent> events) {
        Table table = Table.of("TIME", "ROUTER", "EVENT", "REQUEST", "DETAIL");
        events.forEach(event ->
                table.row(event.timeOfDay(), event.node(), event.type(), event.shortRequestId(), event.detail()));
        return table;
    }
}
