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

/** Publishers race on one object whose writes are conditional, may be lost before or after effect, or land late. */
class PublishOutcomeTest {
    private static final int PUBLISHERS = 3;

    @Property(tries = 5000, seed = "7301")
    void whatAPublisherConcludesIsTrue(@ForAll @Size(max = 60) List<@IntRange(max = 14) Integer> steps) {
        Platform platform = new Platform();
        Publisher[] publishers = new Publisher[PUBLISHERS];
        for (int index = 0; index < PUBLISHERS; index++) {
            publishers[index] = new Publisher("p" + index, platform);
        }
        for (int step : steps) {
            publishers[step % PUBLISHERS].step(step / PUBLISHERS);
        }
        platform.late.forEach(Runnable::run);
        for (Publisher publisher : publishers) {
            publisher.check();
        }
        assertThat(new HashSet<>(platform.generations).size(), is(platform.generations.size()));
    }

    private static final class Platform {
        final List<String> accepted = new ArrayList<>();
        final List<Long> generations = new ArrayList<>();
        final List<Runnable> late = new ArrayList<>();
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
        private final Set<String> surelyAccepted = new HashSet<>();
        private final Set<String> surelyLost = new HashSet<>();
        private int attempts;
        private String writing = "";
        private long readVersion;
        private long writtenGeneration;

        Publisher(String name, Platform platform) {
            this.name = name;
            this.platform = platform;
        }

        void step(int kind) {
            if (writing.isEmpty()) {
                begin();
            }
            switch (kind) {
                case 0 -> answered(write());
                case 1 -> write();
                case 2 -> platform.late.add(lateWrite());
                case 3 -> platform.late.forEach(Runnable::run);
                default -> settle();
            }
        }

        void check() {
            surelyAccepted.forEach(id -> assertThat(platform.accepted, hasItem(id)));
            surelyLost.forEach(id -> assertThat(platform.accepted, not(hasItem(id))));
            surelyAccepted.forEach(id ->
                    assertThat(platform.accepted.stream().filter(id::equals).count(), is(1L)));
        }

        private void begin() {
            writing = name + "-" + attempts++;
            readVersion = platform.version;
            writtenGeneration = platform.generation + 1;
        }

        private boolean write() {
            return platform.update(readVersion, writtenGeneration, writing);
        }

        private Runnable lateWrite() {
            long version = readVersion;
            long generation = writtenGeneration;
            String id = writing;
            return () -> platform.update(version, generation, id);
        }

        private void answered(boolean accepted) {
            if (accepted) {
                surelyAccepted.add(writing);
                writing = "";
            } else {
                settle();
            }
        }

        private void settle() {
            PublishOutcome outcome =
                    PublishOutcome.settle(writtenGeneration, writing, platform.generation, platform.id);
            switch (outcome) {
                case ACCEPTED -> surelyAccepted.add(writing);
                case LOST -> surelyLost.add(writing);
                default -> {}
            }
            if (outcome != PublishOutcome.UNCHANGED) {
                writing = "";
            }
        }
    }
}
