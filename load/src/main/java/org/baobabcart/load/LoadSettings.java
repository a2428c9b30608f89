package org.baobabcart.load;

import java.time.Duration;
import java.util.List;

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
        return new LoadSettings(
                newTargets,
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

    /** The same load in another shape, rate and time. */
    public LoadSettings withRate(Shape newShape, double newRatePerSecond, Duration newDuration) {
        return new LoadSettings(
                targets,
                newShape,
                newRatePerSecond,
                newDuration,
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

    /** The same load with a bound on its count. */
    public LoadSettings withMostRequests(int newMost) {
        return new LoadSettings(
                targets,
                shape,
                ratePerSecond,
                duration,
                newMost,
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

    /** The same load from other workspaces. */
    public LoadSettings withWorkspaces(List<LoadWorkspace> newWorkspaces) {
        return new LoadSettings(
                targets,
                shape,
                ratePerSecond,
                duration,
                mostRequests,
                newWorkspaces,
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

    /** The same load with other ranks. */
    public LoadSettings withRanks(List<RankShare> newRanks) {
        return new LoadSettings(
                targets,
                shape,
                ratePerSecond,
                duration,
                mostRequests,
                workspaces,
                newRanks,
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

    /** The same load with other answers. */
    public LoadSettings withAnswers(boolean newStream, int newTokens) {
        return new LoadSettings(
                targets,
                shape,
                ratePerSecond,
                duration,
                mostRequests,
                workspaces,
                ranks,
                model,
                newStream,
                newTokens,
                prompts,
                promptCharacters,
                retries,
                timeout,
                bookingService,
                choice,
                fixedRetry,
                seed);
    }

    /** The same load with other prompts. */
    public LoadSettings withPrompts(int newPrompts, int newCharacters) {
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
                newPrompts,
                newCharacters,
                retries,
                timeout,
                bookingService,
                choice,
                fixedRetry,
                seed);
    }

    /** The same load with other patience. */
    public LoadSettings withPatience(int newRetries, Duration newTimeout) {
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
                newRetries,
                newTimeout,
                bookingService,
                choice,
                fixedRetry,
                seed);
    }

    /** Bookings of a service, each with a key of its own, in place of model requests. */
    public LoadSettings withBookings(String service) {
        return new LoadSettings(
                targets,
                shape,
                ratePerSecond,
                duration,
                mostRequests,
                workspaces,
                ranks,
                model,
                false,
                tokens,
                prompts,
                promptCharacters,
                retries,
                timeout,
                service,
                choice,
                fixedRetry,
                seed);
    }

    /** The same load with another choice of targets. */
    public LoadSettings withChoice(TargetChoice newChoice) {
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
                newChoice,
                fixedRetry,
                seed);
    }

    /** The same load whose refused requests come back after a fixed time, whatever the refusal says. */
    public LoadSettings withFixedRetry(Duration newFixedRetry) {
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
                newFixedRetry,
                seed);
    }

    /** The same load with another seed. */
    public LoadSettings withSeed(long newSeed) {
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
                newSeed);
    }
}
