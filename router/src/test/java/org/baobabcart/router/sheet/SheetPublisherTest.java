package org.baobabcart.router.sheet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Withdrawal;
import org.baobabcart.policy.document.PublishOutcome;
import org.baobabcart.router.document.PublishResult;
import org.baobabcart.router.document.PublishSettings;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.testing.TestSheets;
import org.junit.jupiter.api.Test;

class SheetPublisherTest {
    private static final PublishSettings SETTINGS = new PublishSettings(5, Duration.ofMillis(100));
    private static final Withdrawal WITHDRAWAL = new Withdrawal("layout", "v2");

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final SheetPublisher publisher = SheetPublisher.create(store, timers, SETTINGS);

    @Test
    void generationsGrowByOne() {
        assertThat(publish("first").document().generation(), is(1L));
        assertThat(publish("second").document().generation(), is(2L));
        assertThat(current().sheet().name(), is("second"));
    }

    @Test
    void lostAnswerIsResolvedByReadingBackWithoutSecondWrite() {
        publish("first");
        int writes = store.writes();
        store.loseNextResponse();
        CompletableFuture<PublishResult<PublishedSheet>> publication = startPublish("second");
        timers.advance(Duration.ofSeconds(1));
        assertThat(publication.join().accepted(), is(true));
        assertThat(store.writes() - writes, is(1));
        assertThat(current().generation(), is(2L));
    }

    @Test
    void concurrentPublicationWinsAndIsReturned() {
        publish("first");
        CompletableFuture<PublishResult<PublishedSheet>> slow = new CompletableFuture<>();
        RacingStore racing = new RacingStore(store, () -> publish("fast"));
        SheetPublisher.create(racing, timers, SETTINGS)
                .publish(PublishRequest.of(TestSheets.named("slow"), "operator-2"))
                .subscribe()
                .with(slow::complete, slow::completeExceptionally);
        assertThat(slow.join().outcome(), is(PublishOutcome.LOST));
        assertThat(slow.join().document().sheet().name(), is("fast"));
        assertThat(slow.join().document().publishedBy(), is("operator-1"));
        assertThat(current().sheet().name(), is("fast"));
    }

    @Test
    void shortOutageIsRetriedAndLongOutageIsReported() {
        store.setOutage(true);
        CompletableFuture<PublishResult<PublishedSheet>> retried = startPublish("first");
        timers.advance(SETTINGS.retryDelay());
        assertThat(retried.isDone(), is(false));
        store.setOutage(false);
        timers.advance(SETTINGS.retryDelay());
        assertThat(retried.join().accepted(), is(true));
        store.setOutage(true);
        CompletableFuture<PublishResult<PublishedSheet>> refused = startPublish("never");
        timers.advance(SETTINGS.retryDelay().multipliedBy(SETTINGS.maxAttempts()));
        assertThat(code(refused), is(ResultCode.PLATFORM_UNAVAILABLE));
        store.setOutage(false);
        assertThat(current().sheet().name(), is("first"));
        store.loseNextResponse();
        CompletableFuture<PublishResult<PublishedSheet>> unsettled = startPublish("second");
        store.setOutage(true);
        timers.advance(Duration.ofSeconds(10));
        assertThat(code(unsettled), is(ResultCode.WRITE_OUTCOME_UNKNOWN));
    }

    @Test
    void sheetBasedOnOlderGenerationIsRefused() {
        publish("first");
        publish("second");
        PublishRequest stale =
                PublishRequest.of(TestSheets.named("third"), "operator-2").withExpectedGeneration(1);
        CompletableFuture<PublishResult<PublishedSheet>> publication =
                publisher.publish(stale).subscribeAsCompletionStage();
        assertThat(code(publication), is(ResultCode.CONFLICT));
    }

    @Test
    void publishingKeepsWithdrawals() {
        RollOutState state = RollOutState.empty().withWithdrawal(WITHDRAWAL, "write-1");
        store.create(StoredObject.create(ObjectKinds.ROLL_OUTS, ObjectKinds.CURRENT, SheetDocuments.write(state)))
                .await()
                .indefinitely();
        publisher
                .publish(PublishRequest.of(TestSheets.withdrawing("first"), "operator-1"))
                .await()
                .indefinitely();
        publish("second");
        assertThat(current().sheet().withdrawals(), hasItem(WITHDRAWAL));
        StoredObject rollOuts =
                store.read(ObjectKinds.ROLL_OUTS, ObjectKinds.CURRENT).await().indefinitely();
        assertThat(SheetDocuments.readRollOuts(rollOuts.spec()), is(state));
    }

    @Test
    void reinstatingEndsWithdrawal() {
        publisher
                .publish(PublishRequest.of(TestSheets.withdrawing("first"), "operator-1"))
                .await()
                .indefinitely();
        publisher
                .publish(PublishRequest.of(TestSheets.named("second"), "operator-1")
                        .withReinstated(Set.of(WITHDRAWAL)))
                .await()
                .indefinitely();
        assertThat(current().sheet().withdrawals(), not(hasItem(WITHDRAWAL)));
    }

    private PublishResult<PublishedSheet> publish(String name) {
        return startPublish(name).join();
    }

    private CompletableFuture<PublishResult<PublishedSheet>> startPublish(String name) {
        return publisher
                .publish(PublishRequest.of(TestSheets.named(name), "operator-1"))
                .subscribeAsCompletionStage();
    }

    private PublishedSheet current() {
        Optional<PublishedSheet> current = publisher.current().await().indefinitely();
        return current.orElseThrow();
    }

    private static ResultCode code(CompletableFuture<?> failed) {
        CompletionException exception = assertThrows(CompletionException.class, failed::join);
        return ((BaobabcartException) exception.getCause()).code();
    }
}
