package org.baobabcart.load;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Settings of a generated load. Immutable.
 *
 * @param targets the base addresses of routers or engines
 * @param shape the distribution of arrivals over time
 * @param ratePerSecond the base arrival rate in requests per second
 * @param duration the period in which requests are started
 * @param mostRequests the maximum number of requests, regardless of the rate
 * @param workspaces the workspaces that send the requests
 * @param ranks the ranks of the requests
 * @param model the requested model or cascade
 * @param stream whether responses are streamed
 * @param tokens the maximum number of tokens in a response
 * @param prompts the number of distinct prompts; requests with the same prompt share a prefix
 * @param promptCharacters the length of the shared prompt prefix in characters
 * @param retries the maximum number of retries of a rejected request, after the delay given in the error response
 * @param timeout the request timeout, measured from the planned start
 * @param bookingService the service to which bookings with new idempotency keys are sent instead of model requests, or empty
 * @param choice the strategy that selects the target of a request
 * @param fixedRetry the retry delay used instead of the one in the error response, or zero
 * @param seed the seed of arrivals, ranks, workspaces and prompts
 */
public record LoadSettings(
        List<String> targets,
        Shape shape,
        double ratePerSecond,
        Duration duration,
        int mostRequests,
        List<LoadWorkspace> workspaces,
        List<RankShare> ranks,
        String model,
        boolean stream,
        int tokens,
        int prompts,
        int promptCharacters,
        int retries,
        Duration timeout,
        String bookingService,
        TargetChoice choice,
        Duration fixedRetry,
        long seed) {
    private static final int MOST_REQUESTS = 100_000;
    private static final int TOKENS = 16;
    private static final int PROMPTS = 100;
    private static final int PROMPT_CHARACTERS = 200;

    /** Copies the lists. */
    public LoadSettings {
        targets = List.copyOf(targets);
        workspaces = List.copyOf(workspaces);
        ranks = List.copyOf(ranks);
    }

    /** Returns settings for a steady load of streamed requests to a model. */
    public static LoadSettings of(List<String> targets, List<LoadWorkspace> workspaces, String model) {
        return new LoadSettings(
                targets,
                Shape.STEADY,
                10,
                Duration.ofSeconds(10),
                MOST_REQUESTS,
                workspaces,
                List.of(new RankShare("", 1)),
                model,
                true,
                TOKENS,
                PROMPTS,
                PROMPT_CHARACTERS,
                0,
                Duration.ofSeconds(30),
                "",
                TargetChoice.ROUND_ROBIN,
                Duration.ZERO,
                1);
    }

    /** Returns a copy with different targets. */
    public LoadSettings withTargets(List<String> newTargets) {
        return changed(draft -> draft.targets = newTargets);
    }

    /** Returns a copy with a different shape, rate and duration. */
    public LoadSettings withRate(Shape newShape, double newRatePerSecond, Duration newDuration) {
        return changed(draft -> {
            draft.shape = newShape;
            draft.ratePerSecond = newRatePerSecond;
            draft.duration = newDuration;
        });
    }

    /** Returns a copy with a different maximum number of requests. */
    public LoadSettings withMostRequests(int newMostRequests) {
        return changed(draft -> draft.mostRequests = newMostRequests);
    }

    /** Returns a copy with different workspaces. */
    public LoadSettings withWorkspaces(List<LoadWorkspace> newWorkspaces) {
        return changed(draft -> draft.workspaces = newWorkspaces);
    }

    /** Returns a copy with different ranks. */
    public LoadSettings withRanks(List<RankShare> newRanks) {
        return changed(draft -> draft.ranks = newRanks);
    }

    /** Returns a copy with a different streaming mode and token limit. */
    public LoadSettings withResponses(boolean newStream, int newTokens) {
        return changed(draft -> {
            draft.stream = newStream;
            draft.tokens = newTokens;
        });
    }

    /** Returns a copy with a different number and length of prompts. */
    public LoadSettings withPrompts(int newPrompts, int newCharacters) {
        return changed(draft -> {
            draft.prompts = newPrompts;
            draft.promptCharacters = newCharacters;
        });
    }

    /** Returns a copy with a different retry limit and request timeout. */
    public LoadSettings withRetriesAndTimeout(int newRetries, Duration newTimeout) {
        return changed(draft -> {
            draft.retries = newRetries;
            draft.timeout = newTimeout;
        });
    }

    /** Returns a copy that sends bookings with unique idempotency keys to a service instead of model requests. */
    public LoadSettings withBookings(String service) {
        return changed(draft -> {
            draft.stream = false;
            draft.bookingService = service;
        });
    }

    /** Returns a copy with a different target selection strategy. */
    public LoadSettings withChoice(TargetChoice newChoice) {
        return changed(draft -> draft.choice = newChoice);
    }

    /** Returns a copy that retries rejected requests after a fixed delay, regardless of the delay in the error response. */
    public LoadSettings withFixedRetry(Duration newFixedRetry) {
        return changed(draft -> draft.fixedRetry = newFixedRetry);
    }

    /** Returns a copy with a different seed. */
    public LoadSettings withSeed(long newSeed) {
        return changed(draft -> draft.seed = newSeed);
    }

    private LoadSettings changed(Consumer<Draft> change) {
        Draft draft = new Draft(this);
        change.accept(draft);
        return draft.settings();
    }

    /** Mutable copy of the settings, used to change some of them. */
    private static final class Draft {
        private List<String> targets;
        private Shape shape;
        private double ratePerSecond;
        private Duration duration;
        private int mostRequests;
        private List<LoadWorkspace> workspaces;
        private List<RankShare> ranks;
        private String model;
        private boolean stream;
        private int tokens;
        private int prompts;
        private int promptCharacters;
        private int retries;
        private Duration timeout;
        private String bookingService;
        private TargetChoice choice;
        private Duration fixedRetry;
        private long seed;

        private Draft(LoadSettings settings) {
            targets = settings.targets;
            shape = settings.shape;
            ratePerSecond = settings.ratePerSecond;
            duration = settings.duration;
            mostRequests = settings.mostRequests;
            workspaces = settings.workspaces;
            ranks = settings.ranks;
            model = settings.model;
            stream = settings.stream;
            tokens = settings.tokens;
            prompts = settings.prompts;
            promptCharacters = settings.promptCharacters;
            retries = settings.retries;
            timeout = settings.timeout;
            bookingService = settings.bookingService;
            choice = settings.choice;
            fixedRetry = settings.fixedRetry;
            seed = settings.seed;
        }

        private LoadSettings settings() {
            return new LoadSettings(
                    targets,
                    shape,
                    ratePerSecond,
                    duration,
                    mostRequests,
                    workspaces,
                    ranks,
                    model,
                    stream,
                    tokens,
                    prompts,
                    promptCharacters,
                    retries,
                    timeout,
                    bookingService,
                    choice,
                    fixedRetry,
                    seed);
        }
    }
}
