package org.baobabcart.cli.command;

import java.util.Optional;
import org.baobabcart.model.platform.Kinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Publishes a sheet by one conditional update against the version read. A conflict means that another operator was
 * faster; it is reported, never overwritten. A lost answer is settled by reading back the id of the publish.
 */
public final class SheetPublishing {
    private SheetPublishing() {}

    /** Publishes a sheet and returns it as it stands in the platform. */
    public static PublishedSheet publish(ObjectStore store, Sheet sheet, String publishedBy) {
        Optional<StoredObject> current = PlatformObjects.read(store, Kinds.SHEETS, Kinds.CURRENT);
        long generation = current.map(object -> generation(object) + 1).orElse(1L);
        PublishedSheet published =
                new PublishedSheet(generation, RequestIds.next(), publishedBy, System.currentTimeMillis(), sheet);
        try {
            write(store, current, published);
        } catch (BaobabcartException exception) {
            settle(store, published, exception);
        }
        return published;
    }

    private static void write(ObjectStore store, Optional<StoredObject> current, PublishedSheet published) {
        if (current.isPresent()) {
            PlatformObjects.await(store.update(current.get().withSpec(PlatformObjects.tree(published))));
        } else {
            PlatformObjects.await(
                    store.create(StoredObject.fresh(Kinds.SHEETS, Kinds.CURRENT, PlatformObjects.tree(published))));
        }
    }

    private static void settle(ObjectStore store, PublishedSheet published, BaobabcartException failure) {
        if (failure.code() != ResultCode.WRITE_OUTCOME_UNKNOWN) {
            throw failure;
        }
        boolean written = PlatformObjects.currentSheet(store)
                .filter(found -> found.publishId().equals(published.publishId()))
                .isPresent();
        if (!written) {
            throw failure;
        }
    }

    private static long generation(StoredObject object) {
        return PlatformObjects.convert(object.spec(), PublishedSheet.class).generation();
    }
}
