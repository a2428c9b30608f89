package org.baobabcart.standins.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

class PrefixCacheTest {
    private final PrefixCache cache = PrefixCache.of(3);

    @Test
    void knowsCommonBeginningsOnly() {
        cache.lookUpAndKeep("a".repeat(64));
        assertThat(cache.lookUpAndKeep("a".repeat(32) + "b".repeat(32)), equalTo(32));
        assertThat(cache.lookUpAndKeep("b".repeat(32)), equalTo(0));
    }

    @Test
    void dropsTheLeastRecentlyUsedBlock() {
        cache.lookUpAndKeep("a".repeat(32));
        cache.lookUpAndKeep("b".repeat(96));
        assertThat(cache.lookUpAndKeep("a".repeat(32)), equalTo(0));
    }
}
