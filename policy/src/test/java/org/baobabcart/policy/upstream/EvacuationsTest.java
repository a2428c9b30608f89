package org.baobabcart.policy.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EvacuationsTest {
    @Test
    void everyDataCentreCountsAsEvacuatedUntilTheOrdersAreKnown() {
        assertThat(Evacuations.unknown().isEvacuated("a"), is(true));
        Evacuations read = Evacuations.unknown().withDataCentres(Set.of("b"), 1);
        assertThat(read.isEvacuated("a"), is(false));
        assertThat(read.isEvacuated("b"), is(true));
        assertThat(read.returnedNanos("a"), is(OptionalLong.empty()));
    }

    @Test
    void returnIsKeptUntilTheNextEvacuationOfTheDataCentre() {
        Evacuations returned = Evacuations.none()
                .withDataCentres(Set.of("a", "b"), 10)
                .withDataCentres(Set.of("b"), 20)
                .withDataCentres(Set.of(), 30);
        assertThat(returned.returnedNanos("a"), is(OptionalLong.of(20)));
        assertThat(returned.returnedNanos("b"), is(OptionalLong.of(30)));
        Evacuations again = returned.withDataCentres(Set.of("a"), 40);
        assertThat(again.returnedNanos("a"), is(OptionalLong.empty()));
        assertThat(again.returnedNanos("b"), is(OptionalLong.of(30)));
    }
}
