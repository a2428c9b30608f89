package org.baobabcart.policy.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Simulates publishers that race on one object by conditional writes, which may be lost before or after taking effect,
 * or arrive late.
 */
class PublishOutcomeTest {
    private static final int PUBLISHERS = 3;

    @Property(tries = 5000, seed = "7301")
    void determinedOutcomesAreTrue(@ForAll @Size(max = 60) List<@IntRange(max = 14) Integer> steps) {
        Platform platform = new Platform();
        Publisher[] publishers = new Publisher[PUBLISHERS];
        for (int index = 0; index < PUBLISHERS; index++) {
            publishers[index] = new Publisher("p" + index, platform);
        }
        for (int step : steps) {
            publishers[step % PUBLISHERS].step(step / PUBLISHERS);
        }
        platform.lateWrites.forEach(Runnable::run);
        for (Publisher publisher : publishers) {
            publisher.check();
        }
        assertThat(new HashSet<>(platform.generations).size(), is(platform.generations.size()));
    }

    private static final class Platform {
        final List<String> accepted = new ArrayList<>();
        final List<Long> generations = new ArrayList<>();
        final List<Runnable> lateWrites = new ArrayList<>();
        long version;
        long generation;
        String id = "";

        boolean update(long expectedVersion, long newGeneration, String newId) {
            if (expectedVersion != version) {
                return false;
            }
            version++;
            generation = newGeneration;
            id = newId;
            accepted.add(newId);
            generations.add(newGeneration);
            return true;
        }
    }

    private static final class Publisher {
        private final String name;
        private final Platform platform;
        private final Set<String> reportedAccepted = new HashSet<>();
        private final Set<String> reportedLost = new HashSet<>();
        private int attempts;
        private String pendingId = "";
        private long readVersion;
        private long writtenGeneration;

        Publisher(String name, Platform platform) {
            this.name = name;
            this.platform = platform;
        }

        void step(int kind) {
            if (pendingId.isEmpty()) {
                begin();
            }
            switch (kind) {
                case 0 -> handleResponse(write());
                case 1 -> write();
                case 2 -> platform.lateWrites.add(delayedWrite());
                case 3 -> platform.lateWrites.forEach(Runnable::run);
                default -> determineOutcome();
            }
        }

        void check() {
            reportedAccepted.forEach(id -> assertThat(platform.accepted, hasItem(id)));
            reportedLost.forEach(id -> assertThat(platform.accepted, not(hasItem(id))));
            reportedAccepted.forEach(id ->
                    assertThat(platform.accepted.stream().filter(id::equals).count(), is(1L)));
        }

        private void begin() {
            pendingId = name + "-" + attempts++;
            readVersion = platform.version;
            writtenGeneration = platform.generation + 1;
        }

        private boolean write() {
            return platform.update(readVersion, writtenGeneration, pendingId);
        }

        private Runnable delayedWrite() {
            long version = readVersion;
            long generation = writtenGeneration;
            String id = pendingId;
            return () -> platform.update(version, generation, id);
        }

        private void handleResponse(boolean accepted) {
            if (accepted) {
                reportedAccepted.add(pendingId);
                pendingId = "";
            } else {
                determineOutcome();
            }
        }

        private void determineOutcome() {
            PublishOutcome outcome =
                    PublishOutcome.determine(writtenGeneration, pendingId, platform.generation, platform.id);
            switch (outcome) {
                case ACCEPTED -> reportedAccepted.add(pendingId);
                case LOST -> reportedLost.add(pendingId);
                default -> {}
            }
            if (outcome != PublishOutcome.UNCHANGED) {
                pendingId = "";
            }
        }
    }
}
