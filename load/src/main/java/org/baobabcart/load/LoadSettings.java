package org.baobabcart.load;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * What load is sent. Immutable.
 *
 * @param targets base addresses of routers or engines, used in turn
 * @param shape how arrivals are spread
 * @param ratePerSecond the average number of requests a second
 * @param duration how long requests are begun
 * @param mostRequests the greatest number of requests whatever the rate
 * @param workspaces who sends them
 * @param ranks the ranks that they carry
 * @param model the model or cascade
 * @param stream whether answers are streamed
 * @param tokens the greatest number of tokens of an answer
 * @param prompts the number of different prompts, whose first part is shared by requests with the same one
 * @param promptCharacters the length of a prompt
 * @param retries how often a refused request is sent again after the time that the refusal names
 * @param timeout when a request is given up, from its planned start
 * @param bookingService the service that takes bookings with fresh keys in place of model requests, or empty
 * @param choice which target a request goes to
 * @param fixedRetry the time to the next try in place of the refusal's own, or zero
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

    /** Steady streamed load on a model. */
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

    /** The same load on other targets. */
    public LoadSettings withTargets(List<String> newTargets) {
        return changed(draft -> draft.targets = newTargets);
    }

    /** The same load in another shape, rate and time. */
    public LoadSettings withRate(Shape newShape, double newRatePerSecond, Duration newDuration) {
        return changed(draft -> {
            draft.shape = newShape;
            draft.ratePerSecond = newRatePerSecond;
            draft.duration = newDuration;
        });
    }

    /** The same load with a bound on its count. */
    public LoadSettings withMostRequests(int newMost) {
        return changed(draft -> draft.mostRequests = newMost);
    }

    /** The same load from other workspaces. */
    public LoadSettings withWorkspaces(List<LoadWorkspace> newWorkspaces) {
        return changed(draft -> draft.workspaces = newWorkspaces);
    }

    /** The same load with other ranks. */
    public LoadSettings withRanks(List<RankShare> newRanks) {
        return changed(draft -> draft.ranks = newRanks);
    }

    /** The same load with other answers. */
    public LoadSettings withAnswers(boolean newStream, int newTokens) {
        return changed(draft -> {
            draft.stream = newStream;
            draft.tokens = newTokens;
        });
    }

    /** The same load with other prompts. */
    public LoadSettings withPrompts(int newPrompts, int newCharacters) {
        return changed(draft -> {
            draft.prompts = newPrompts;
            draft.promptCharacters = newCharacters;
        });
    }

    /** The same load with other patience. */
    public LoadSettings withPatience(int newRetries, Duration newTimeout) {
        return changed(draft -> {
            draft.retries = newRetries;
            draft.timeout = newTimeout;
        });
    }

    /** Bookings of a service, each with a key of its own, in place of model requests. */
    public LoadSettings withBookings(String service) {
        return changed(draft -> {
            draft.stream = false;
            draft.bookingService = service;
        });
    }

    /** The same load with another choice of targets. */
    public LoadSettings withChoice(TargetChoice newChoice) {
        return changed(draft -> draft.choice = newChoice);
    }

    /** The same load whose refused requests come back after a fixed time, whatever the refusal says. */
    public LoadSettings withFixedRetry(Duration newFixedRetry) {
        return changed(draft -> draft.fixedRetry = newFixedRetry);
    }

    /** The same load with another seed. */
    public LoadSettings withSeed(long newSeed) {
        return changed(draft -> draft.seed = newSeed);
    }

    private LoadSettings changed(Consumer<Draft> change) {
        Draft draft = new Draft(this);
        change.accept(draft);
        return draft.settings();
    }

    /** Settings of which some are being changed. */
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
