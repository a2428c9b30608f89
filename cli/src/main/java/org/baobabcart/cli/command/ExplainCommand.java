package org.baobabcart.cli.command;

import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.explain.LogFiles;
import org.baobabcart.cli.explain.LogLine;
import org.baobabcart.cli.explain.RequestStory;
import org.baobabcart.cli.output.Output;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;

/** {@code explain}: describes the course and outcome of a request, from the log files of one or more routers. */
final class ExplainCommand implements Command {
    private static final String FILES = "FILE...";
    private static final Flag REQUEST = Flag.of("--request", "id of the request");

    @Override
    public List<String> words() {
        return List.of("explain");
    }

    @Override
    public String help() {
        return "describe the outcome of a request and its cause, from log files";
    }

    @Override
    public List<String> positionals() {
        return List.of(FILES);
    }

    @Override
    public List<Flag> flags() {
        return List.of(REQUEST, CommonFlags.JSON);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        String request = arguments.text(REQUEST);
        List<String> names = arguments.remaining(FILES);
        Optional<RequestStory> story = RequestStory.read(request, LogFiles.of(names));
        if (story.isEmpty()) {
            context.output().note("no line of " + String.join(", ", names) + " tells of the request " + request);
            return ExitCode.FAILED;
        }
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(story.get());
        } else {
            print(story.get(), context.output());
        }
        return ExitCode.OK;
    }

    private static void print(RequestStory story, Output output) {
        for (LogLine line : story.lines()) {
            output.line("%s  %s  %s%s"
                    .formatted(
                            line.timeOfDay(), line.node(), line.request().isEmpty() ? "(router) " : "", line.event()));
            if (!line.detail().isEmpty()) {
                output.line("              " + line.detail());
            }
        }
        output.line("");
        output.line(story.conclusion());
    }
}
