package org.baobabcart.standins.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

class PrefixCacheTest {
    private final PrefixCache cache = PrefixCache.of(3);

    @Test
    void findsCommonPrefixesOnly() {
        cache.lookUpAndStore("a".repeat(64));
        assertThat(cache.lookUpAndStore("a".repeat(32) + "b".repeat(32)), equalTo(32));
        assertThat(cache.lookUpAndStore("b".repeat(32)), equalTo(0));
    }

    @Test
    void evictsTheLeastRecentlyUsedBlock() {
        cache.lookUpAndStore("a".repeat(32));
        cache.lookUpAndStore("b".repeat(96));
        assertThat(cache.lookUpAndStore("a".repeat(32)), equalTo(0));
    }
}
